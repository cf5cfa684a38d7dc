import { describe, expect, it } from 'vitest';
import type { ForwardOutcome } from '../../src/forwards/types.ts';
import type { Route } from '../../src/routes/types.ts';
import { DirectedHost } from '../helpers/directed.ts';

const SAFE: Partial<Route> = { kind: 'safe', attempts: 2 };
const UNSAFE: Partial<Route> = { kind: 'unsafe', attempts: 1 };
const STREAM: Partial<Route> = { kind: 'stream', attempts: 1 };
const RESUMABLE: Partial<Route> = { kind: 'stream', attempts: 2, isResumable: true };

const ANSWERED: ForwardOutcome = { type: 'answered', status: 200 };
const FAILED: ForwardOutcome = { type: 'answered', status: 500 };
const FULL: ForwardOutcome = { type: 'notRun', reason: 'full' };
const UNREACHABLE: ForwardOutcome = { type: 'unreachable', reason: 'refused' };
const BROKEN: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId: undefined };
const CUT: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId: '3' };

/** What the caller gets after the outcomes in turn, or `sent` while another send is under way. */
type Expected = 'passed' | 'sent' | 'service_unavailable' | 'outcome_unknown' | 'resumed';

function start(route: Partial<Route>): DirectedHost {
  const host = DirectedHost.create().setUp({
    routes: [route],
    endpoints: [{ id: 'e0' }, { id: 'e1' }, { id: 'e2' }],
  });
  return host.arrive();
}

function play(
  route: Partial<Route>,
  outcomes: ForwardOutcome[],
): { host: DirectedHost; got: string } {
  const host = start(route);
  let [sent] = host.take('sendForward');
  let got = '';
  for (const outcome of outcomes) {
    if (sent === undefined) throw new Error('nothing is under way');
    const { id, attempt } = sent.spec;
    if (outcome === CUT) host.dispatch({ type: 'forwardStarted', id, attempt });
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome });
    host.advance(320);
    const effects = host.takeAll();
    sent = effects.find((effect) => effect.type === 'sendForward');
    const failed = effects.find((effect) => effect.type === 'failForward');
    const isPassed = effects.some((effect) => effect.type === 'passResponse');
    got = isPassed ? 'passed' : (failed?.failure.kind ?? 'sent');
    if (sent?.spec.resumeAfter !== undefined) got = 'resumed';
  }
  return { host, got };
}

describe('outcomes of sends', () => {
  it.each<[string, Partial<Route>, ForwardOutcome[], Expected]>([
    ['an answer is passed on', UNSAFE, [ANSWERED], 'passed'],
    ['a failure of a booking is passed on', UNSAFE, [FAILED], 'passed'],
    ['a booking that broke off may have run', UNSAFE, [BROKEN], 'outcome_unknown'],
    ['a booking that was turned away goes elsewhere', UNSAFE, [FULL], 'sent'],
    ['a booking goes elsewhere when nothing was written', UNSAFE, [UNREACHABLE], 'sent'],
    [
      'a booking runs at most once after it was turned away',
      UNSAFE,
      [FULL, BROKEN],
      'outcome_unknown',
    ],
    [
      'a booking that nobody took was not run',
      UNSAFE,
      [FULL, FULL, FULL, FULL, FULL],
      'service_unavailable',
    ],
    ['a read is repeated after a failure', SAFE, [FAILED], 'sent'],
    ['a read runs on no more engines than allowed', SAFE, [FAILED, FAILED], 'passed'],
    ['a read is repeated after a break', SAFE, [BROKEN], 'sent'],
    ['a failure is passed on when the repeat broke off', SAFE, [FAILED, BROKEN], 'passed'],
    ['a read that broke off twice may have run', SAFE, [BROKEN, BROKEN], 'outcome_unknown'],
    ['a stream that may not be resumed is not repeated', STREAM, [BROKEN], 'outcome_unknown'],
    ['a resumable stream is repeated before its first event', RESUMABLE, [BROKEN], 'sent'],
    ['a resumable stream continues after its last event', RESUMABLE, [CUT], 'resumed'],
    [
      'a stream that began and cannot go on is broken off',
      RESUMABLE,
      [CUT, BROKEN],
      'outcome_unknown',
    ],
  ])('%s', (_name, route, outcomes, expected) => {
    expect(play(route, outcomes).got).toBe(expected);
  });

  it('never sends a request to an endpoint that turned it away or failed it, while there are others', () => {
    const host = start(SAFE);
    const [first] = host.take('sendForward');
    if (first === undefined) throw new Error('nothing was sent');
    const { id, attempt, endpoint } = first.spec;
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome: FAILED });
    expect(host.take('sendForward')[0]?.spec.endpoint).not.toBe(endpoint);
  });

  it('says at the deadline that a request which nobody took was not run, and when to come back', () => {
    const host = DirectedHost.create().setUp({ routes: [{ ...UNSAFE, timeoutMs: 300 }] });
    host.arrive().advance(400);
    const [failed] = host.take('failForward');
    expect(failed?.failure).toMatchObject({ outcome: 'not_run' });
    expect(failed?.failure.retryAfterS).toBeGreaterThan(0);
  });

  it('says at the deadline that a request which was sent may have run, and ends it', () => {
    const host = start({ ...UNSAFE, timeoutMs: 300 });
    host.take('sendForward');
    host.advance(300);
    const effects = host.takeAll();
    expect(effects.some(({ type }) => type === 'cancelForward')).toBe(true);
    const failed = effects.find((effect) => effect.type === 'failForward');
    expect(failed?.failure).toMatchObject({ kind: 'deadline_exceeded', outcome: 'unknown' });
  });

  it('ends the work of a caller that has gone and answers nothing', () => {
    const host = start(UNSAFE);
    host.take('sendForward');
    host.dispatch({ type: 'forwardCancelled', id: 'f1' });
    expect(host.takeAll().map(({ type }) => type)).toContain('cancelForward');
    expect(host.state.forwards.inFlight.size).toBe(0);
  });

  it('refuses a request that broke off at three sends, which may crash every endpoint that runs it', () => {
    const host = start(UNSAFE);
    for (let n = 1; n <= 3; n++) {
      const [sent] = host.take('sendForward');
      if (sent === undefined) throw new Error(`send ${n} is missing`);
      const { id, attempt } = sent.spec;
      host.dispatch({ type: 'forwardEnded', id, attempt, outcome: BROKEN }).take('failForward');
      host.arrive({ id: `f${n + 1}` });
    }
    const effects = host.takeAll();
    expect(effects.some(({ type }) => type === 'sendForward')).toBe(false);
    const failed = effects.find((effect) => effect.type === 'failForward');
    expect(failed?.failure).toMatchObject({ kind: 'service_unavailable', outcome: 'not_run' });
  });

  it('answers 503 and never 404 while no routing table is known', () => {
    const host = DirectedHost.create().arrive();
    expect(host.take('failForward')[0]?.failure.kind).toBe('not_ready');
  });
});
