import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import { applyRevision } from '../../src/configuration/apply.ts';
import { refreshOwnedEngines } from '../../src/grants/owned.ts';

function newState(): State {
  const state = State.create({
    host: { id: 'h1', zone: 'z', region: 'r', address: '127.0.0.1:1', incarnation: 1 },
    policy: {
      stallWeight: 0.5,
      loadsPerS: 100,
      maxRequestsPerCaller: 2,
      maxRequests: 10,
      lameDuckMs: 0,
    },
    randomSeed: 1,
  });
  applyRevision(state.configuration, {
    revision: 1,
    operator: 'o',
    plan: 'p',
    confirmedAtUnixMs: 0,
    changes: [
      {
        type: 'putEngine',
        engine: {
          id: 'e1',
          address: '127.0.0.1:2',
          zone: 'z',
          pool: 'p',
          model: 'm',
          slots: 2,
          batch: 2,
          checksFencing: true,
        },
      },
      {
        type: 'putAdapter',
        adapter: {
          name: 'a',
          firm: 'f',
          model: 'm',
          versions: { v1: { source: 's' } },
          inForce: 'v1',
        },
      },
    ],
  });
  refreshOwnedEngines(state, 0);
  return state;
}

/** Feeds `event` and every message that the host sends to itself; returns all other effects. */
function feed(state: State, event: Event, now: number): Effect[] {
  return reduce(state, event, now).flatMap((effect) =>
    effect.type === 'sendMessage'
      ? feed(state, { type: 'messageReceived', from: 'h1', message: effect.message }, now)
      : [effect],
  );
}

function newArrival(model: { adapter: string; version?: string }, deadline = 1000): Event {
  return {
    type: 'requestArrived',
    request: {
      id: 'r1',
      firm: 'f',
      caller: 'c',
      kind: 'ordinary',
      adapter: model.adapter,
      version: model.version,
      deadline,
      fingerprint: 'x',
      maxTokens: 8,
      draft: undefined,
    },
  };
}

describe('a request on one host', () => {
  it('loads the adapter, runs the attempt and ends', () => {
    const state = newState();
    const arrived = feed(state, newArrival({ adapter: 'a' }), 100);
    const order = arrived.find((effect) => effect.type === 'orderEngine');
    expect(order?.order).toMatchObject({ type: 'load', model: 'a@v1' });

    const loaded = feed(
      state,
      {
        type: 'orderAnswered',
        engine: 'e1',
        epoch: 1,
        order: { type: 'load', model: 'a@v1', source: 's' },
        answer: { type: 'done' },
      },
      350,
    );
    const start = loaded.find((effect) => effect.type === 'startAttempt');
    expect(start?.spec).toMatchObject({ model: 'a@v1', engine: 'e1', loadStallMs: 250 });

    const ended = feed(
      state,
      {
        type: 'attemptEnded',
        id: 'r1',
        attempt: start?.spec.attempt ?? '',
        outcome: { type: 'completed', adapter: 'a', version: 'v1', tokens: 3 },
      },
      400,
    );
    expect(ended.some((effect) => effect.type === 'finishRequest')).toBe(true);
    expect(state.requests.inFlight.size).toBe(0);
    expect(state.grants.owned.get('e1')?.pins.size).toBe(0);
  });

  it.each([
    {
      name: 'an adapter that does not exist',
      event: newArrival({ adapter: 'b' }),
      kind: 'unknown_adapter',
    },
    {
      name: 'a version that does not exist',
      event: newArrival({ adapter: 'a', version: 'v9' }),
      kind: 'unknown_version',
    },
    {
      name: 'a deadline in the past',
      event: newArrival({ adapter: 'a' }, 50),
      kind: 'deadline_passed',
    },
  ])('refuses $name as not run', ({ event, kind }) => {
    const effects = feed(newState(), event, 100);
    const failed = effects.find((effect) => effect.type === 'failRequest');
    expect(failed?.failure).toMatchObject({ kind, outcome: 'not_run' });
  });
});
