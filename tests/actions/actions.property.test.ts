import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { ActionAnswer, NewAction, ServiceCallOutcome } from '../../src/actions/types.ts';
import { type StepHost, StepSimulation } from '../helpers/stepSimulation.ts';

const HOSTS = ['h1', 'h2', 'h3'];
const ENDPOINTS = ['s1', 's2', 's3'].map((id) => ({ id, address: `${id}:1`, zone: 'z' }));

interface World {
  simulation: StepSimulation;
  actions: Map<string, NewAction & { host: StepHost }>;
  answers: Map<string, ActionAnswer[]>;
  /** Ids of the actions that the service ran, with the response body. */
  runs: { id: string; body: string }[];
}

function newWorld(seed: number): World {
  const actions: World['actions'] = new Map();
  const answers: World['answers'] = new Map();
  const runs: World['runs'] = [];
  const simulation = StepSimulation.create({
    seed,
    hosts: HOSTS,
    changes: [
      {
        type: 'putService',
        service: {
          name: 'desk',
          endpoints: ENDPOINTS,
          repeatable: [{ method: 'GET', path: '/status/*' }],
        },
      },
    ],
    onEffect: (sim, host, effect) => {
      if (effect.type === 'answerAction') {
        answers.set(effect.id, [...(answers.get(effect.id) ?? []), effect.answer]);
      }
      if (effect.type !== 'callService') return;
      const { id } = effect;
      const fault = sim.drawChance(sim.faultRate)
        ? sim.pickRandom(['notSent', 'lostBefore', 'lostAfter'] as const)
        : 'none';
      const answer = (): ServiceCallOutcome => {
        if (fault === 'notSent') return { type: 'notSent' };
        if (fault === 'lostBefore') return { type: 'lost', reason: 'reset' };
        const body = `${id}/${runs.length}${'x'.repeat(sim.drawChance(0.3) ? 20_000 : 0)}`;
        runs.push({ id, body });
        if (fault === 'lostAfter') return { type: 'lost', reason: 'reset' };
        return { type: 'answered', status: 201, headers: { a: 'b' }, body };
      };
      sim.dispatchLater(
        host,
        () => {
          const made = answer();
          sim.dispatchLater(host, () => ({ type: 'serviceCallEnded', id, answer: made }));
          return undefined;
        },
        true,
      );
    },
  });
  return { simulation, actions, answers, runs };
}

function submitAction(
  { simulation, actions }: World,
  id: string,
  parts: Partial<NewAction> = {},
): void {
  const host = simulation.pickRandom(simulation.getHosts().filter(({ isPaused }) => !isPaused));
  const action: NewAction = {
    id,
    firm: 'atlas',
    caller: 'c',
    service: 'desk',
    method: 'POST',
    path: '/book',
    idempotencyKey: `k${simulation.random.getInteger(3)}`,
    bodyHash: simulation.drawChance(0.1) ? 'other' : 'body',
    deadline: simulation.now + 60_000,
    ...parts,
  };
  actions.set(id, { ...action, host });
  simulation.dispatch(host, { type: 'actionArrived', action });
}

function injectFault({ simulation }: World): void {
  const host = simulation.pickRandom(simulation.getHosts());
  if (simulation.drawChance(0.3)) simulation.startHost(host.id);
  else
    host.isPaused = !host.isPaused && simulation.getHosts().some((h) => h !== host && !h.isPaused);
}

function expectInvariants({ simulation, actions, answers, runs }: World): void {
  const runsByKey = new Map<string, typeof runs>();
  for (const run of runs) {
    const { idempotencyKey: key, method } = actions.get(run.id) ?? {};
    if (method !== 'POST' || key === undefined) continue;
    runsByKey.set(key, [...(runsByKey.get(key) ?? []), run]);
  }
  for (const list of runsByKey.values()) expect(list).toHaveLength(1);
  for (const [id, action] of actions) {
    const given = answers.get(id) ?? [];
    expect(given.length).toBeLessThanOrEqual(1);
    const answer = given[0];
    if (answer === undefined) {
      // Only a host that stopped may leave its caller without an answer.
      expect(action.host.isAlive).toBe(false);
      continue;
    }
    const own = runs.filter((run) => run.id === id);
    if (answer.type === 'failed') {
      if (answer.failure.outcome === 'not_run') expect(own).toEqual([]);
      continue;
    }
    const candidates = answer.isReplay ? (runsByKey.get(action.idempotencyKey ?? '') ?? []) : own;
    expect(candidates.map(({ body }) => body)).toContain(answer.body);
  }
  for (const { state } of simulation.getHosts()) {
    expect(state.actions.outstandingCalls.size).toBe(0);
    expect(state.actions.idsByRowKey.size).toBe(0);
  }
}

function run(seed: number): World {
  const world = newWorld(seed);
  const { simulation } = world;
  simulation.faultRate = simulation.pickRandom([0, 0.1, 0.4]);
  for (let i = 0; i < 120; i++) {
    const kind = simulation.random.getInteger(20);
    if (kind < 2) submitAction(world, `a${i}`);
    else if (kind === 2) submitAction(world, `a${i}`, { method: 'GET', path: '/status/7' });
    else if (kind === 3 && simulation.drawChance(0.3)) injectFault(world);
    else simulation.runStep();
  }
  simulation.runUntil(() =>
    simulation.getHosts().every(({ state }) => state.actions.inFlight.size === 0),
  );
  expectInvariants(world);
  return world;
}

describe('actions on several hosts', () => {
  it('runs a call at most once, says "not_run" only if it did not run, replays its own response, and leaves no call or claim in flight', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => void run(seed)),
      { seed: 20261203, numRuns: 400 },
    );
  });

  it('replays the recorded response of a call on every host', () => {
    const world = newWorld(1);
    const { simulation, answers } = world;
    submitAction(world, 'first', { idempotencyKey: 'k', bodyHash: 'body' });
    simulation.runUntil(() => answers.has('first'));
    simulation.stopHost(world.actions.get('first')?.host.id ?? '');
    for (const { id } of simulation.getHosts()) {
      submitAction(world, `repeat-${id}`, { idempotencyKey: 'k', bodyHash: 'body' });
      simulation.runUntil(() => answers.has(`repeat-${id}`));
      expect(answers.get(`repeat-${id}`)?.[0]).toMatchObject({ isReplay: true, status: 201 });
    }
    expect(world.runs).toHaveLength(1);
  });
});
