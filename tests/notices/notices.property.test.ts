import fc from 'fast-check';
import { expect, it } from 'vitest';
import type { EndpointNotice } from '../../src/notices/types.ts';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';
import { newNotice } from '../helpers/notices.ts';

/** Starts of the endpoint, in Unix ms; each step of news is of one of them. */
const STARTS = [1, 2, 3];
const LONGEST_PAUSE_MS = 8_000;

type Step =
  | { type: 'answer'; startedAt: number; sentAgoMs: number; notice: Partial<EndpointNotice> }
  | { type: 'row'; startedAt: number; isLeaving: boolean }
  | { type: 'told'; startedAt: number }
  | { type: 'request' }
  | { type: 'advance'; ms: number };

const startedAt = fc.constantFrom(...STARTS);
const notice: fc.Arbitrary<Partial<EndpointNotice>> = fc.oneof(
  fc.constant({}),
  fc.constant({ leaving: { type: 'leaving' as const } }),
  fc.integer({ min: 0, max: LONGEST_PAUSE_MS }).map((ms) => ({
    pause: { type: 'pause' as const, ms },
  })),
);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    type: fc.constant('answer' as const),
    startedAt,
    sentAgoMs: fc.integer({ min: 0, max: 3_000 }),
    notice,
  }),
  fc.record({ type: fc.constant('row' as const), startedAt, isLeaving: fc.boolean() }),
  fc.record({ type: fc.constant('told' as const), startedAt }),
  fc.constant({ type: 'request' as const }),
  fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 3_000 }) }),
);

/** What the host was told of the endpoint: its newest start, which starts leave, and the last pause. */
interface Told {
  current: number;
  leaving: Set<number>;
  pause: { learnedAt: number; until: number } | undefined;
}

function tellNotice(
  told: Told,
  { leaving, pause }: Partial<EndpointNotice>,
  sentAt: number,
  now: number,
): void {
  if (leaving !== undefined) told.leaving.add(told.current);
  const known = told.pause;
  const wasUnderWay = known !== undefined && sentAt <= known.learnedAt;
  if (pause?.type === 'pause') {
    const until = now + pause.ms;
    told.pause = wasUnderWay
      ? { ...known, until: Math.max(known.until, until) }
      : { learnedAt: now, until };
  } else if (!wasUnderWay) {
    told.pause = undefined;
  }
}

/** Applies one step to the host and to what it was told. */
function runStep(host: DirectoryHost, told: Told, next: Step, index: number): void {
  switch (next.type) {
    case 'answer':
      host.dispatch({
        type: 'noticeRead',
        endpoint: 'e0',
        startedAt: next.startedAt,
        sentAt: host.now - next.sentAgoMs,
        notice: newNotice(next.notice),
      });
      if (next.startedAt === told.current)
        tellNotice(told, next.notice, host.now - next.sentAgoMs, host.now);
      return;
    case 'row': {
      const endpoint = newEndpoint({ startedAt: next.startedAt, isLeaving: next.isLeaving });
      const content = { type: 'endpoint' as const, endpoint };
      const version = 100 + index;
      const changes = [newDirectoryChange('e0', version, content)];
      const topicChanges = { topic: 'endpoints' as const, after: 0, upTo: version, changes };
      host.receiveMessage('h1', { type: 'topicTold', ...topicChanges });
      if (next.startedAt < told.current) return;
      if (next.startedAt > told.current) told.pause = undefined;
      told.current = next.startedAt;
      if (next.isLeaving) told.leaving.add(next.startedAt);
      return;
    }
    case 'told':
      host.receiveMessage('h1', {
        type: 'endpointLimitsAnnounced',
        limits: [],
        leaving: [{ endpoint: 'e0', startedAt: next.startedAt }],
      });
      if (next.startedAt === told.current) told.leaving.add(next.startedAt);
      return;
    case 'request':
      host.receiveForward({ id: `f${index}`, fingerprint: `f${index}` });
      return;
    case 'advance':
      host.advance(next.ms);
  }
}

it('no order of answers, rows and news of other hosts lets a host send what an endpoint does not want', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 40 }), (steps) => {
      const host = DirectoryHost.create().configure({
        endpoints: [{ id: 'e0' }],
        members: [{ host: 'h0' }],
      });
      const told: Told = { current: 1, leaving: new Set(), pause: undefined };
      steps.forEach((next, index) => {
        runStep(host, told, next, index);
        for (const { spec } of host.takeEffects('sendForward')) {
          expect(told.leaving.has(told.current), `${spec.id} to a leaving endpoint`).toBe(false);
          expect(told.pause?.until ?? 0, `${spec.id} within a pause`).toBeLessThanOrEqual(
            spec.sentAt,
          );
        }
      });
    }),
    { numRuns: 300, seed: 41 },
  );
});
