import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { noteEpoch } from '../../src/ownership/owner.ts';
import { newFleet } from '../grants/fleet.ts';
import { newRequest } from '../helpers/engines.ts';

type Sent = Extract<Effect, { type: 'sendMessage' }>;

/** A host that waits for the grant of its request `r` for engine `e0`, of another host. */
function newAsker(): { state: State; owner: string; ask: number } {
  for (const state of newFleet({ hosts: 2, engines: 1 })) {
    const request = newRequest('r', { adapter: 'a0' });
    const effects = reduce(state, { type: 'requestArrived', request }, 0);
    const sent = effects.find((effect): effect is Sent => effect.type === 'sendMessage');
    if (sent?.message.type !== 'grantAsk' || sent.to === state.host.id) continue;
    return { state, owner: sent.to, ask: sent.message.ask };
  }
  throw new Error('no host asked another one');
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
  // Guards against work that a former owner admits while its successor evicts the adapter (G2).
  it.each([
    { name: 'an older epoch', epoch: 4, isUsed: false },
    { name: 'the highest epoch seen', epoch: 5, isUsed: true },
    { name: 'a newer epoch', epoch: 6, isUsed: true },
  ])('of $name is used: $isUsed', ({ epoch, isUsed }) => {
    const { state, owner, ask } = newAsker();
    noteEpoch(state, 'e0', 5);
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
});
