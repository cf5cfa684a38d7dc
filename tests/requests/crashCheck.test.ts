import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { CRASH_CHECK_TIMEOUT_MS } from '../../src/requests/constants.ts';
import { answerOrder, newEngineChanges, newRequest } from '../helpers/engines.ts';
import { StepSimulation } from '../helpers/stepSimulation.ts';

/** Starts a request whose first attempt breaks; the probe of its engine is not answered. */
function breakFirstAttempt(hasStarted: boolean) {
  const seen: Effect[] = [];
  const simulation = StepSimulation.create({
    seed: 1,
    hosts: ['h1'],
    changes: newEngineChanges(3),
    onEffect: (sim, host, effect) => {
      seen.push(effect);
      answerOrder(sim, host, effect);
    },
  });
  const host = simulation.getHost('h1');
  simulation.dispatch(host, { type: 'requestArrived', request: newRequest('r') });
  const breakAttempt = (number: number) => {
    const attempt = `r.${number}`;
    const isStarted = (effect: Effect) =>
      effect.type === 'startAttempt' && effect.spec.attempt === attempt;
    simulation.runUntil(() => seen.some(isStarted));
    if (hasStarted) simulation.dispatch(host, { type: 'attemptResponseStarted', id: 'r', attempt });
    const outcome = { type: 'broken', reason: 'reset' } as const;
    simulation.dispatch(host, { type: 'attemptEnded', id: 'r', attempt, outcome });
  };
  breakAttempt(1);
  const get = () => host.state.requests.inFlight.get('r');
  const starts = () => seen.filter(({ type }) => type === 'startAttempt').length;
  const failure = () => seen.find((effect) => effect.type === 'failRequest')?.failure;
  return { simulation, host, get, starts, failure, breakAttempt };
}

describe('a request whose attempt broke', () => {
  it('is retried after the engine was probed', () => {
    const { simulation, host, get, starts } = breakFirstAttempt(false);
    expect(get()).toMatchObject({ phase: 'awaitingProbe' });
    const engine = get()?.crashCheck?.engine ?? '';
    simulation.dispatch(host, { type: 'engineUnreachable', engine, refused: true });
    simulation.runUntil(() => starts() === 2);
  });

  it('is retried when the probe times out', () => {
    const { simulation, starts } = breakFirstAttempt(false);
    const brokenAt = simulation.now;
    simulation.runUntil(() => starts() === 2);
    expect(simulation.now).toBeGreaterThanOrEqual(brokenAt + CRASH_CHECK_TIMEOUT_MS);
  });

  it('fails with stream_broken when a part of the response was relayed', () => {
    const { simulation, host, get, failure } = breakFirstAttempt(true);
    const engine = get()?.crashCheck?.engine ?? '';
    simulation.dispatch(host, { type: 'engineUnreachable', engine, refused: true });
    expect(failure()).toMatchObject({ kind: 'stream_broken', outcome: 'unknown' });
  });

  // Fault: the timeout of the first probe let a request that crashes engines reach a third one.
  it('is not released by the timeout of an earlier probe', () => {
    const { simulation, host, get, breakAttempt } = breakFirstAttempt(false);
    const firstAt = simulation.now;
    simulation.now += 1_000;
    const engine = get()?.crashCheck?.engine ?? '';
    simulation.dispatch(host, { type: 'engineUnreachable', engine, refused: true });
    breakAttempt(2);
    simulation.now = firstAt + CRASH_CHECK_TIMEOUT_MS;
    simulation.dispatch(host, { type: 'tick' });
    expect(get()).toMatchObject({ phase: 'awaitingProbe', attempts: 2 });
  });
});
