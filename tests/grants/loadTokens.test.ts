import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import type { Message } from '../../src/core/messages.ts';
import { WEIGHT_STORE_BURST_LOADS, URGENT_LOAD_RANK } from '../../src/grants/constants.ts';
import { requestLoadTokens, getLoadTokens, tryTakeLoadToken } from '../../src/grants/loadTokens.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { newLinkedHosts } from './linkedHosts.ts';

const LOADS_PER_S = 2.5;

type Step =
  | { type: 'wait'; ms: number }
  | { type: 'load'; host: number; isUrgent: boolean }
  /** Delivers or loses the oldest message in flight. */
  | { type: 'message'; delivery: 'delivered' | 'lost' }
  | { type: 'die'; host: number };

const host = fc.nat({ max: 2 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 2_000 }) }),
  fc.record({ type: fc.constant('load' as const), host, isUrgent: fc.boolean() }),
  fc.record({
    type: fc.constant('message' as const),
    delivery: fc.constantFrom('delivered' as const, 'lost' as const),
  }),
  fc.record({ type: fc.constant('die' as const), host }),
);

interface Sent {
  from: State;
  to: string;
  message: Message;
}

/** Runs `steps` and returns the times at which loads consumed a token. */
function run(hosts: State[], steps: Step[]): number[] {
  const loads: number[] = [];
  const alive = new Set(hosts);
  const sent: Sent[] = [];
  let now = 0;
  const send = (from: State, effects: Effect[]) => {
    for (const effect of effects) {
      if (effect.type === 'sendMessage') sent.push({ from, ...effect });
    }
  };
  for (const current of steps) {
    if (current.type === 'wait') now += current.ms;
    const dead = current.type === 'die' ? hosts[current.host] : undefined;
    if (dead !== undefined) alive.delete(dead);
    if (current.type === 'load') {
      const state = hosts[current.host];
      if (state === undefined || !alive.has(state)) continue;
      if (tryTakeLoadToken(state, now)) loads.push(now);
      else send(state, requestLoadTokens(state, current.isUrgent ? URGENT_LOAD_RANK : 1, now));
    }
    if (current.type === 'message') {
      const next = sent.shift();
      const target = hosts.find((state) => state.host.id === next?.to);
      if (next === undefined || target === undefined || !alive.has(target)) continue;
      if (current.delivery === 'lost') continue;
      const event = {
        type: 'messageReceived' as const,
        from: next.from.host.id,
        message: next.message,
      };
      send(target, reduce(target, event, now));
    }
  }
  return loads;
}

describe('load tokens', () => {
  // Owners must not start more loads in total than the weight store's rate allows.
  it('never allow more loads than the rate limit when messages are lost and hosts die', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const loads = run(newLinkedHosts({ hosts: 3, engines: 6, loadsPerS: LOADS_PER_S }), steps);
        loads.forEach((at, index) => {
          expect(index + 1).toBeLessThanOrEqual((at / 1000) * LOADS_PER_S + 1e-6);
        });
      }),
      { seed: 20261203, numRuns: 300 },
    );
  });

  it.each([
    { name: 'all to a load of higher rank', waitingLoadRank: 3, rank: URGENT_LOAD_RANK, lent: 1 },
    {
      name: 'nothing to a load of lower rank',
      waitingLoadRank: URGENT_LOAD_RANK,
      rank: 3,
      lent: 0,
    },
  ])('are lent: $name', ({ waitingLoadRank, rank, lent }) => {
    const [lender] = newLinkedHosts({ hosts: 2, engines: 6, loadsPerS: LOADS_PER_S });
    if (lender === undefined) throw new Error('newLinkedHosts returned no host');
    for (const owned of lender.grants.owned.values()) owned.waitingLoadRank = waitingLoadRank;
    const before = getLoadTokens(lender, 10_000);
    const message = { type: 'loadTokensAsked' as const, need: 1, rank };
    reduce(lender, { type: 'messageReceived', from: 'h1', message }, 10_000);
    expect(before - getLoadTokens(lender, 10_000)).toBeCloseTo(lent);
  });

  // Hosts must not save up tokens for a larger burst than the weight store serves at full speed.
  it('do not exceed the burst after an idle time', () => {
    const hosts = newLinkedHosts({ hosts: 3, engines: 6, loadsPerS: LOADS_PER_S });
    const sum = hosts.reduce((total, state) => total + getLoadTokens(state, 1e6), 0);
    expect(sum).toBeCloseTo(WEIGHT_STORE_BURST_LOADS);
  });
});
