import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { recordGrantEpoch } from '../../src/ownership/owner.ts';
import { newLinkedHosts } from '../grants/linkedHosts.ts';
import { newRequest } from '../helpers/engines.ts';

type Sent = Extract<Effect, { type: 'sendMessage' }>;

/** Returns a host whose request `r` waits for a grant for engine `e0` from another host. */
function newRequestingHost(): { state: State; owner: string; ask: number } {
  for (const state of newLinkedHosts({ hosts: 2, engines: 1 })) {
    const request = newRequest('r', { adapter: 'a0' });
    const effects = reduce(state, { type: 'requestArrived', request }, 0);
    const sent = effects.find((effect): effect is Sent => effect.type === 'sendMessage');
    if (sent?.message.type !== 'grantAsk' || sent.to === state.host.id) continue;
    return { state, owner: sent.to, ask: sent.message.ask };
  }
  throw new Error('no host requested a grant from another host');
}

function giveGrant(state: State, owner: string, ask: number, epoch: number): Effect[] {
  const message = {
    ...{ type: 'grantGiven' as const, request: 'r', ask, engine: 'e0', grant: 'g', epoch },
    ...{ bootId: '', stallMs: 0 },
  };
  return reduce(state, { type: 'messageReceived', from: owner, message }, 10);
}

function getSent(effects: Effect[]) {
  return effects.flatMap((effect) => (effect.type === 'sendMessage' ? [effect.message] : []));
}

describe('a grant', () => {
  // A grant of a former owner must not be used, since the new owner may evict the adapter (G2).
  it.each([
    { name: 'an older epoch', epoch: 4, isUsed: false },
    { name: 'the highest epoch seen', epoch: 5, isUsed: true },
    { name: 'a newer epoch', epoch: 6, isUsed: true },
  ])('of $name is used: $isUsed', ({ epoch, isUsed }) => {
    const { state, owner, ask } = newRequestingHost();
    recordGrantEpoch(state, 'e0', 5);
    const effects = giveGrant(state, owner, ask, epoch);
    const { inFlight } = state.requests;
    const released = { type: 'grantReleased', grant: 'g', result: 'unused' };
    expect(effects.some(({ type }) => type === 'startAttempt')).toBe(isUsed);
    expect(getSent(effects)).toMatchObject(isUsed ? [] : [released]);
    expect(inFlight.get('r')).toMatchObject({
      phase: isUsed ? 'running' : 'backoff',
      attempts: isUsed ? 1 : 0,
    });
    expect(state.engines.views.get('e0')?.epoch).toBe(Math.max(5, epoch));
  });

  // A leaving endpoint must get no new requests (G6), also when its owner does not know yet.
  it('is released unused when only this host knows that the engine leaves', () => {
    const { state, owner, ask } = newRequestingHost();
    state.membership.leavingEndpoints.set('e0', 5);
    const effects = giveGrant(state, owner, ask, 5);
    expect(effects.some(({ type }) => type === 'startAttempt')).toBe(false);
    expect(getSent(effects)).toMatchObject([{ type: 'grantReleased', result: 'unused' }]);
    expect(state.requests.inFlight.get('r')).toMatchObject({ phase: 'backoff', attempts: 0 });
  });
});

describe('placement', () => {
  // A leaving endpoint must get no new requests (G6), also without a configured intent.
  it('skips an engine that leaves by the host list', () => {
    const [state] = newLinkedHosts({ hosts: 1, engines: 2 });
    if (state === undefined) throw new Error('newLinkedHosts returned no host');
    for (const engine of ['e0', 'e1']) {
      state.membership.leavingEndpoints.clear();
      state.membership.leavingEndpoints.set(engine, 0);
      const request = newRequest(`not-${engine}`, { adapter: 'a0' });
      reduce(state, { type: 'requestArrived', request }, 10);
      const chosen = state.requests.inFlight.get(request.id)?.pendingGrant?.engine;
      expect(chosen).toBe(engine === 'e0' ? 'e1' : 'e0');
    }
  });
});
