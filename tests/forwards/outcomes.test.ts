import { describe, expect, it } from 'vitest';
import type { ForwardOutcome } from '../../src/forwards/types.ts';
import type { Route } from '../../src/routes/types.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

const SAFE: Partial<Route> = { kind: 'safe', attempts: 2 };
const UNSAFE: Partial<Route> = { kind: 'unsafe', attempts: 1 };
const STREAM: Partial<Route> = { kind: 'stream', attempts: 1 };
const RESUMABLE: Partial<Route> = { kind: 'stream', attempts: 2, isResumable: true };

const ANSWERED: ForwardOutcome = { type: 'answered', status: 200 };
const FAILED: ForwardOutcome = { type: 'answered', status: 500 };
const FULL: ForwardOutcome = { type: 'notRun', reason: 'full' };
const UNREACHABLE: ForwardOutcome = { type: 'unreachable', reason: 'refused' };
const BROKEN: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId: undefined };
const BROKEN_AFTER_EVENT: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId: '3' };

/** Result for the caller after the outcomes in order; `sent` while another attempt is in flight. */
type Expected = 'passed' | 'sent' | 'service_unavailable' | 'outcome_unknown' | 'resumed';

function start(route: Partial<Route>): DirectoryHost {
  const host = DirectoryHost.create().configure({
    routes: [route],
    endpoints: [{ id: 'e0' }, { id: 'e1' }, { id: 'e2' }],
  });
  // A host has its part of the retry budget one window after its start.
  host.advance(10_000).takeAllEffects();
  return host.receiveForward();
}

function runOutcomes(
  route: Partial<Route>,
  outcomes: ForwardOutcome[],
): { host: DirectoryHost; result: string } {
  const host = start(route);
  let [sent] = host.takeEffects('sendForward');
  let result = '';
  for (const outcome of outcomes) {
    if (sent === undefined) throw new Error('no attempt is in flight');
    const { id, attempt } = sent.spec;
    if (outcome === BROKEN_AFTER_EVENT) host.dispatch({ type: 'forwardStarted', id, attempt });
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome });
    host.advance(320);
    const effects = host.takeAllEffects();
    sent = effects.find((effect) => effect.type === 'sendForward');
    const failed = effects.find((effect) => effect.type === 'failForward');
    const isPassed = effects.some((effect) => effect.type === 'passResponse');
    result = isPassed ? 'passed' : (failed?.failure.kind ?? 'sent');
    if (sent?.spec.resumeAfter !== undefined) result = 'resumed';
  }
  return { host, result };
}

describe('outcomes of attempts', () => {
  it.each<[string, Partial<Route>, ForwardOutcome[], Expected]>([
    ['a response is passed on', UNSAFE, [ANSWERED], 'passed'],
    ['the error response to an unsafe request is passed on', UNSAFE, [FAILED], 'passed'],
    [
      'an unsafe request without a complete response may have run',
      UNSAFE,
      [BROKEN],
      'outcome_unknown',
    ],
    ['an unsafe request that an endpoint refused is sent to another one', UNSAFE, [FULL], 'sent'],
    [
      'an unsafe request is sent to another endpoint when nothing was written',
      UNSAFE,
      [UNREACHABLE],
      'sent',
    ],
    [
      'an unsafe request runs at most once after an endpoint refused it',
      UNSAFE,
      [FULL, BROKEN],
      'outcome_unknown',
    ],
    [
      'an unsafe request that all endpoints refused was not run',
      UNSAFE,
      [FULL, FULL, FULL, FULL, FULL],
      'service_unavailable',
    ],
    ['a safe request is retried after an error response', SAFE, [FAILED], 'sent'],
    ['a safe request runs on no more endpoints than allowed', SAFE, [FAILED, FAILED], 'passed'],
    ['a safe request is retried after a broken attempt', SAFE, [BROKEN], 'sent'],
    ['an error response is passed on when the retry broke', SAFE, [FAILED, BROKEN], 'passed'],
    [
      'a safe request with two broken attempts may have run',
      SAFE,
      [BROKEN, BROKEN],
      'outcome_unknown',
    ],
    ['a stream that may not be resumed is not retried', STREAM, [BROKEN], 'outcome_unknown'],
    ['a resumable stream is retried before its first event', RESUMABLE, [BROKEN], 'sent'],
    [
      'a resumable stream is resumed after its last event',
      RESUMABLE,
      [BROKEN_AFTER_EVENT],
      'resumed',
    ],
    [
      'a started stream that cannot be resumed again is aborted',
      RESUMABLE,
      [BROKEN_AFTER_EVENT, BROKEN],
      'outcome_unknown',
    ],
  ])('%s', (_name, route, outcomes, expected) => {
    expect(runOutcomes(route, outcomes).result).toBe(expected);
  });

  it('sends a request that failed on an endpoint to another one while there are others', () => {
    const host = start(SAFE);
    const [first] = host.takeEffects('sendForward');
    if (first === undefined) throw new Error('nothing was sent');
    const { id, attempt, endpoint } = first.spec;
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome: FAILED });
    expect(host.takeEffects('sendForward')[0]?.spec.endpoint).not.toBe(endpoint);
  });

  it('reports at the deadline that a request which was never sent was not run, with Retry-After', () => {
    const host = DirectoryHost.create().configure({ routes: [{ ...UNSAFE, timeoutMs: 300 }] });
    host.receiveForward().advance(400);
    const [failed] = host.takeEffects('failForward');
    expect(failed?.failure).toMatchObject({ outcome: 'not_run' });
    expect(failed?.failure.retryAfterS).toBeGreaterThan(0);
  });

  it('reports at the deadline that a request which was sent may have run, and cancels it', () => {
    const host = start({ ...UNSAFE, timeoutMs: 300 });
    host.takeEffects('sendForward');
    host.advance(300);
    const effects = host.takeAllEffects();
    expect(effects.some(({ type }) => type === 'cancelForward')).toBe(true);
    const failed = effects.find((effect) => effect.type === 'failForward');
    expect(failed?.failure).toMatchObject({ kind: 'deadline_exceeded', outcome: 'unknown' });
  });

  it('cancels the attempt and drops the request when the caller closes the connection', () => {
    const host = start(UNSAFE);
    host.takeEffects('sendForward');
    host.dispatch({ type: 'forwardCancelled', id: 'f1' });
    expect(host.takeAllEffects().map(({ type }) => type)).toContain('cancelForward');
    expect(host.state.forwards.inFlight.size).toBe(0);
  });

  it('rejects a request after three broken attempts, as it may crash every endpoint that runs it', () => {
    const host = start(UNSAFE);
    for (let n = 1; n <= 3; n++) {
      const [sent] = host.takeEffects('sendForward');
      if (sent === undefined) throw new Error(`send ${n} is missing`);
      const { id, attempt } = sent.spec;
      host
        .dispatch({ type: 'forwardEnded', id, attempt, outcome: BROKEN })
        .takeEffects('failForward');
      host.receiveForward({ id: `f${n + 1}` });
    }
    const effects = host.takeAllEffects();
    expect(effects.some(({ type }) => type === 'sendForward')).toBe(false);
    const failed = effects.find((effect) => effect.type === 'failForward');
    expect(failed?.failure).toMatchObject({ kind: 'service_unavailable', outcome: 'not_run' });
  });

  it('answers 503 and never 404 while no routing table is known', () => {
    const host = DirectoryHost.create().receiveForward();
    expect(host.takeEffects('failForward')[0]?.failure.kind).toBe('not_ready');
  });
});
