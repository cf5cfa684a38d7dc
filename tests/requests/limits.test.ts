import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { RetryBudget } from '../../src/requests/retryBudget.ts';
import { getOverloadFailure } from '../../src/requests/loadShedding.ts';
import type { AttemptOutcome, RequestKind } from '../../src/requests/types.ts';
import { answerOrder, newEngineChanges, newRequest } from '../helpers/engines.ts';
import { StepSimulation } from '../helpers/stepSimulation.ts';

function newSimulation(outcome?: AttemptOutcome) {
  const seen: Effect[] = [];
  const simulation = StepSimulation.create({
    seed: 1,
    hosts: ['h1'],
    changes: newEngineChanges(2),
    onEffect: (sim, host, effect) => {
      seen.push(effect);
      answerOrder(sim, host, effect);
      if (effect.type !== 'startAttempt' || outcome === undefined) return;
      const { id, attempt } = effect.spec;
      sim.dispatchLater(host, () => ({ type: 'attemptEnded', id, attempt, outcome }));
    },
  });
  return { simulation, seen, host: simulation.getHost('h1') };
}

describe('RetryBudget', () => {
  it.each([
    { name: 'the minimum rate without requests', requestsPerS: 0, expectedPerS: 3 },
    { name: 'the minimum rate with few requests', requestsPerS: 10, expectedPerS: 3 },
    { name: 'a tenth of many requests', requestsPerS: 200, expectedPerS: 20 },
  ])('allows $name', ({ requestsPerS, expectedPerS }) => {
    const budget = RetryBudget.create();
    let taken = 0;
    for (let ms = 0; ms < 60_000; ms += 5) {
      if (ms % 1000 < requestsPerS * 5) budget.addRequest(ms);
      // The decaying rates settle in the first 30 s, which are not counted.
      if (budget.tryTakeRetry(ms) && ms >= 30_000) taken += 1;
    }
    expect(Math.abs(taken / 30 - expectedPerS)).toBeLessThan(0.1 * expectedPerS);
  });

  it('fails a retry beyond the budget at once, with a retry-after time', () => {
    const { simulation, seen, host } = newSimulation({ type: 'refused', status: 503, message: '' });
    const request = newRequest('r');
    simulation.dispatch(host, { type: 'requestArrived', request });
    simulation.runUntil(() => seen.some(({ type }) => type === 'startAttempt'));
    while (host.state.requests.retryBudget.tryTakeRetry(simulation.now));
    simulation.runUntil(() => seen.some(({ type }) => type === 'failRequest'));
    const failed = seen.find((effect) => effect.type === 'failRequest');
    expect(failed?.failure).toMatchObject({
      kind: 'overloaded',
      outcome: 'unknown',
      retryAfterS: 1,
    });
    expect(seen.filter(({ type }) => type === 'startAttempt')).toHaveLength(1);
  });
});

describe('load shedding', () => {
  it.each<{ name: string; running: number; kind: RequestKind; isShed: boolean }>([
    { name: 'a draft at 60%', running: 300, kind: 'draft', isShed: true },
    { name: 'an ordinary request at 60%', running: 300, kind: 'ordinary', isShed: false },
    { name: 'an ordinary request at 90%', running: 450, kind: 'ordinary', isShed: true },
    { name: 'an urgent request at 90%', running: 450, kind: 'urgent', isShed: false },
    { name: 'an urgent request on a full host', running: 500, kind: 'urgent', isShed: true },
  ])('of $name: $isShed', ({ running, kind, isShed }) => {
    const { simulation, host } = newSimulation();
    for (let i = 0; i < running; i++) {
      const request = newRequest(`r${i}`, { kind: 'urgent', caller: `c${i}` });
      simulation.dispatch(host, { type: 'requestArrived', request });
    }
    expect(host.state.requests.inFlight.size).toBe(running);
    const failure = getOverloadFailure(host.state, newRequest('x', { kind }));
    expect(failure?.kind).toBe(isShed ? 'overloaded' : undefined);
  });

  it.each([
    { name: 'that uses the idle share of the other', firm: 'f', running: 380, isShed: false },
    { name: 'over its share of a nearly full host', firm: 'f', running: 400, isShed: true },
    { name: 'under its share of a nearly full host', firm: 'g', running: 400, isShed: false },
  ])('of a firm $name: $isShed', ({ firm, running, isShed }) => {
    const { simulation, host } = newSimulation();
    host.state.configuration.shares.set('f', 0.5);
    host.state.configuration.shares.set('g', 0.5);
    for (let i = 0; i < running; i++) {
      const request = newRequest(`r${i}`, { caller: `c${i}`, kind: 'urgent' });
      simulation.dispatch(host, { type: 'requestArrived', request });
    }
    const failure = getOverloadFailure(host.state, newRequest('x', { firm, kind: 'urgent' }));
    expect(failure?.kind).toBe(isShed ? 'overloaded' : undefined);
  });

  it('stops counting the requests of a firm when they end', () => {
    const { simulation, host } = newSimulation();
    simulation.dispatch(host, { type: 'requestArrived', request: newRequest('r') });
    simulation.dispatch(host, { type: 'requestCancelled', id: 'r' });
    expect([host.state.requests.countByFirm.size, host.state.requests.countByCaller.size]).toEqual([
      0, 0,
    ]);
  });

  it('counts callers of the same name in two firms separately', () => {
    const { simulation, host } = newSimulation();
    for (const firm of ['f', 'g']) {
      const request = newRequest(firm, { firm, caller: 'desk' });
      simulation.dispatch(host, { type: 'requestArrived', request });
    }
    expect([...host.state.requests.countByCaller.values()]).toEqual([1, 1]);
  });
});

describe('an engine that turns a request away for a time', () => {
  it.each([
    { status: 429, pauseMs: 5_000, outcome: 'not_run' },
    { status: 503, pauseMs: 5_000, outcome: 'unknown' },
  ])(
    'with $status gets no more within it, and callers are told it',
    ({ status, pauseMs, outcome }) => {
      const pause = { type: 'pause' as const, ms: pauseMs };
      const { simulation, seen, host } = newSimulation({
        type: 'refused',
        status,
        message: '',
        pause,
      });
      const send = (id: string): void => {
        simulation.dispatch(host, { type: 'requestArrived', request: newRequest(id) });
      };
      send('r0');
      simulation.runUntil(() => seen.some(({ type }) => type === 'failRequest'));
      const turnedAwayAt = simulation.now;
      for (let request = 1; request <= 5; request++) {
        send(`r${request}`);
        simulation.runUntil(
          () => seen.filter(({ type }) => type === 'failRequest').length > request,
        );
      }
      expect(simulation.now - turnedAwayAt).toBeLessThan(1_000);
      // The first request was tried on both engines.
      expect(seen.filter(({ type }) => type === 'startAttempt')).toHaveLength(2);
      const [first, last] = [0, -1].map((index) =>
        seen.filter((effect) => effect.type === 'failRequest').at(index),
      );
      expect(first?.failure).toMatchObject({ kind: 'adapter_unavailable', outcome });
      expect(last?.failure.outcome).toBe('not_run');
      expect(last?.failure.retryAfterS).toBeGreaterThanOrEqual(4);
      expect(last?.failure.retryAfterS).toBeLessThanOrEqual(5);
      const { now } = simulation;
      simulation.runUntil(() => simulation.now > now + pauseMs);
      send('later');
      simulation.runUntil(() => seen.filter(({ type }) => type === 'startAttempt').length > 2);
    },
  );
});
