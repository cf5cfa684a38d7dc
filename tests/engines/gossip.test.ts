import { describe, expect, it } from 'vitest';
import { State } from '../../src/core/state.ts';
import { applyDeltas } from '../../src/engines/gossip.ts';
import type { EngineDelta } from '../../src/engines/types.ts';

function newState(): State {
  return State.create({
    host: { id: 'h2', zone: 'z', region: 'r', address: '127.0.0.1:1', incarnation: 1 },
    policy: {
      stallWeight: 0.5,
      loadsPerS: 1,
      maxRequestsPerCaller: 1,
      maxRequests: 1,
      lameDuckMs: 0,
    },
    seed: 1,
  });
}

function newDelta(change: Partial<EngineDelta>): EngineDelta {
  return {
    engine: 'e1',
    epoch: 1,
    sequence: 0,
    isFull: false,
    state: 'live',
    added: [],
    removed: [],
    running: 0,
    waiting: 0,
    ...change,
  };
}

const full = newDelta({ isFull: true, sequence: 5, added: ['a@v1', 'b@v1'] });

describe('deltas of an engine view', () => {
  it.each([
    {
      name: 'applies the next delta',
      deltas: [full, newDelta({ sequence: 6, added: ['c@v1'], removed: ['a@v1'] })],
      residents: ['b@v1', 'c@v1'],
      asked: false,
    },
    {
      // Guards against residents that are believed present after a lost removal.
      name: 'asks for the whole view after a gap and keeps the old one until then',
      deltas: [full, newDelta({ sequence: 7, added: ['c@v1'] })],
      residents: ['a@v1', 'b@v1'],
      asked: true,
    },
    {
      name: 'ignores a delta that arrives twice',
      deltas: [full, newDelta({ sequence: 5, removed: ['a@v1'] })],
      residents: ['a@v1', 'b@v1'],
      asked: false,
    },
    {
      // Guards against a former owner that overwrites the word of the present one.
      name: 'ignores a full view of an older epoch',
      deltas: [{ ...full, epoch: 2 }, newDelta({ isFull: true, epoch: 1, sequence: 9 })],
      residents: ['a@v1', 'b@v1'],
      asked: false,
    },
    {
      name: 'asks for the whole view of a new owner',
      deltas: [full, newDelta({ epoch: 2, sequence: 1, added: ['c@v1'] })],
      residents: ['a@v1', 'b@v1'],
      asked: true,
    },
  ])('$name', ({ deltas, residents, asked }) => {
    const state = newState();
    const effects = deltas.flatMap((delta) => applyDeltas(state, [delta], 'h1', 0));
    expect([...(state.engines.views.get('e1')?.residents ?? [])].sort()).toEqual(residents);
    for (const model of ['a@v1', 'b@v1', 'c@v1']) {
      expect(state.engines.holders.get(model)?.has('e1') ?? false).toBe(residents.includes(model));
    }
    expect(effects.some((effect) => effect.type === 'sendMessage')).toBe(asked);
  });
});
