import { describe, expect, it } from 'vitest';
import type { ForwardOutcome } from '../../src/forwards/types.ts';
import type { NamedLimit } from '../../src/limits/types.ts';
import type { ReservationRequest } from '../../src/residency/types.ts';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';
import { newNoticeEvent } from '../helpers/notices.ts';

const PERMIT_INTERVAL_MS = 500;
const LIMIT = newRate(1_000 / PERMIT_INTERVAL_MS);
const ANSWERED: ForwardOutcome = { type: 'answered', status: 200 };

function newRate(perS: number): NamedLimit {
  return { type: 'rate', perS };
}

function start(endpoints = ['e0']): DirectoryHost {
  const host = DirectoryHost.create().configure({
    endpoints: endpoints.map((id) => ({ id })),
    members: [{ host: 'h0' }],
  });
  host.advance(10_000).takeAllEffects();
  return host;
}

function getLimit(host: DirectoryHost, endpoint = 'e0'): number | undefined {
  return host.state.fleet.views.get(endpoint)?.limit?.perS;
}

/** Sends a request and returns a function that delivers the head of its answer. */
function send(host: DirectoryHost, id: string): (limit: NamedLimit) => void {
  host.receiveForward({ id, fingerprint: id });
  const [sent] = host.takeEffects('sendForward');
  if (sent === undefined) throw new Error(`request ${id} was not sent`);
  return (limit) => host.dispatch(newNoticeEvent(sent.spec, { limit }));
}

/** Lets the endpoint name a limit, so that the host hands out permits from now on. */
function nameLimit(host: DirectoryHost, endpoints = ['e0']): void {
  for (const endpoint of endpoints) {
    const id = `first ${endpoint}`;
    host.receiveForward({ id, fingerprint: id });
    const [sent] = host.takeEffects('sendForward');
    if (sent === undefined) throw new Error(`request ${id} was not sent`);
    host.dispatch(newNoticeEvent(sent.spec, { limit: LIMIT }));
    const { attempt } = sent.spec;
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome: ANSWERED });
  }
  host.takeAllEffects();
}

describe('answers that arrive out of order', () => {
  it.each<[string, ('send' | NamedLimit)[], number | undefined]>([
    [
      'one from before the limit does not lift it',
      ['send', 'send', newRate(2), { type: 'none' }],
      2,
    ],
    [
      'one from before a rise does not lower it',
      ['send', newRate(2), 'send', 'send', newRate(5), newRate(2)],
      5,
    ],
    ['one to a later request lifts it', ['send', newRate(2), 'send', { type: 'none' }], undefined],
    ['a lower limit holds at once', ['send', 'send', newRate(5), newRate(3)], 3],
    [
      'a value that is no number changes nothing',
      ['send', newRate(2), 'send', { type: 'malformed', value: '-1' }],
      2,
    ],
  ])('%s', (_name, steps, expected) => {
    const host = start();
    const answers: ((limit: NamedLimit) => void)[] = [];
    let count = 0;
    for (const step of steps) {
      host.advance(600);
      if (step === 'send') answers.push(send(host, `f${count++}`));
      else answers.shift()?.(step);
    }
    expect(getLimit(host)).toBe(expected);
  });

  it('announcements: the higher revision goes first, of two with the same the lower limit', () => {
    const host = start();
    const announce = (perS: number | undefined, revision: number): void => {
      const limits = [{ endpoint: 'e0', startedAt: 1, perS, revision }];
      host.receiveMessage('h1', { type: 'endpointLimitsAnnounced', limits });
    };
    announce(4, 2);
    announce(9, 1);
    expect(getLimit(host)).toBe(4);
    announce(3, 2);
    announce(undefined, 2);
    expect(getLimit(host)).toBe(3);
    announce(undefined, 3);
    expect(getLimit(host)).toBeUndefined();
  });

  it('an endpoint that started again has no limit until it names one', () => {
    const host = start();
    const answer = send(host, 'f0');
    send(host, 'f1')(LIMIT);
    const endpoint = newEndpoint({ startedAt: 2, sequence: 2 });
    const change = newDirectoryChange('e0', 50, { type: 'endpoint', endpoint });
    host.answerDirectoryCall('endpoints', [change], 50);
    answer(LIMIT);
    expect(getLimit(host)).toBeUndefined();
  });
});

describe('a request that an endpoint at its limit does not take', () => {
  it('goes to an endpoint without a limit at once', () => {
    const host = start(['e0', 'e1']);
    host.receiveForward({ id: 'first', fingerprint: 'first' });
    const [first] = host.takeEffects('sendForward');
    if (first === undefined) throw new Error('the request was not sent');
    const { endpoint: limited } = first.spec;
    host.dispatch(newNoticeEvent(first.spec, { limit: newRate(0.5) }));
    for (let request = 0; request < 6; request++) host.receiveForward({ id: `f${request}` });
    const sent = host.takeEffects('sendForward').map(({ spec }) => spec.endpoint);
    expect(sent).toHaveLength(6);
    expect(sent).not.toContain(limited);
  });

  it('is refused at once when the wait would be too long, with returns spread over the permits', () => {
    const host = start();
    nameLimit(host);
    for (let request = 0; request < 20; request++) host.receiveForward({ id: `f${request}` });
    const refused = host.takeEffects('failForward');
    const returns = refused.map(({ failure }) => (failure.retryAfterS ?? 0) * 1_000);
    // Two requests wait for the permits of the next second, half of the time that they have.
    expect(refused).toHaveLength(18);
    expect(new Set(refused.map(({ failure }) => failure.kind))).toEqual(new Set(['overloaded']));
    for (const [index, returnMs] of returns.entries()) {
      const permitMs = (index + 3) * PERMIT_INTERVAL_MS;
      expect(returnMs).toBeGreaterThanOrEqual(Math.min(permitMs, 5_000));
      expect(returnMs).toBeLessThanOrEqual(Math.min(permitMs, 10_000) + 500);
    }
  });

  it('waits behind more urgent ones', () => {
    const host = start();
    nameLimit(host);
    const ask = (request: string, priority: number): void => {
      const message: ReservationRequest = {
        type: 'placeAsked',
        request,
        ask: 1,
        engine: 'e0',
        adapter: '',
        version: 0,
        promptTokens: 0,
        outputTokens: 0,
        remainingMs: 5_000,
        goalMs: 200,
        priority,
        maxWaitMs: 2_000,
      };
      host.receiveMessage('h0', message);
    };
    ask('later', 2);
    ask('urgent', 0);
    ask('soon', 1);
    host.advance(3 * PERMIT_INTERVAL_MS + 100);
    const granted = host.takeEffects('sendMessage').flatMap(({ message }) => {
      return message.type === 'placeGiven' ? [message.request] : [];
    });
    expect(granted).toEqual(['urgent', 'soon', 'later']);
  });

  it('takes a permit for each attempt, also for repeats', () => {
    const host = start(['e0', 'e1']);
    nameLimit(host, ['e0', 'e1']);
    expect(getLimit(host, 'e0')).toBe(getLimit(host, 'e1'));
    host.advance(5_000).takeAllEffects();
    let sends = 0;
    for (let request = 0; request < 30; request++) {
      const id = `f${request}`;
      host.receiveForward({ id, fingerprint: id });
      for (const { spec } of host.takeEffects('sendForward')) {
        sends += 1;
        const outcome: ForwardOutcome = { type: 'answered', status: 500 };
        host.dispatch({ type: 'forwardEnded', id: spec.id, attempt: spec.attempt, outcome });
      }
      sends += host.takeEffects('sendForward').length;
    }
    // Each endpoint has the permits of one second.
    expect(sends).toBeLessThanOrEqual(4);
  });
});
