import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { sha256 } from '../../src/base/hash.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Failure } from '../../src/errors/failure.ts';
import { getFingerprint } from '../../src/suspects/fingerprint.ts';
import { getSuspicion } from '../../src/suspects/suspicion.ts';
import {
  answerOrder,
  newCompletedOutcome,
  newEngineChanges,
  newRequest,
} from '../helpers/engines.ts';
import { type StepHost, StepSimulation } from '../helpers/stepSimulation.ts';

const HOSTS = ['h1', 'h2', 'h3'];
const ENGINES = 5;

interface Engine {
  boot: number;
  isDown: boolean;
  /** Running attempts; a crash of the engine breaks them all. */
  running: Map<string, { host: StepHost; id: string; attempt: string }>;
}

interface World {
  simulation: StepSimulation;
  engines: Map<string, Engine>;
  crashes: string[];
  ended: Map<string, 'finished' | Failure>;
}

/** Returns hosts of one zone, and engines that crash under every request with body `bad`. */
function newWorld(seed: number): World {
  const engines = new Map<string, Engine>();
  const crashes: string[] = [];
  const ended: World['ended'] = new Map();
  const getEngine = (id: string): Engine => {
    const engine = engines.get(id) ?? { boot: 1, isDown: false, running: new Map() };
    engines.set(id, engine);
    return engine;
  };
  const crash = (sim: StepSimulation, id: string) => {
    const engine = getEngine(id);
    crashes.push(id);
    engine.isDown = true;
    engine.boot += 1;
    for (const { host, id: request, attempt } of engine.running.values()) {
      const outcome = { type: 'broken', reason: 'reset' } as const;
      sim.dispatchLater(host, () => ({ type: 'attemptEnded', id: request, attempt, outcome }));
    }
    engine.running.clear();
  };
  const start = (sim: StepSimulation, host: StepHost, effect: Effect) => {
    if (effect.type !== 'startAttempt') return;
    const { id, attempt, engine: engineId, model } = effect.spec;
    const unreachable = { type: 'unreachable' } as const;
    sim.dispatchLater(host, () => {
      const engine = getEngine(engineId);
      if (engine.isDown) return { type: 'attemptEnded', id, attempt, outcome: unreachable };
      engine.running.set(attempt, { host, id, attempt });
      sim.dispatchLater(host, () => {
        if (!engine.running.has(attempt)) return undefined;
        if (id.startsWith('bad')) {
          crash(sim, engineId);
          return undefined;
        }
        engine.running.delete(attempt);
        return { type: 'attemptEnded', id, attempt, outcome: newCompletedOutcome(model) };
      });
      return undefined;
    });
  };
  const simulation = StepSimulation.create({
    seed,
    hosts: HOSTS,
    changes: newEngineChanges(ENGINES),
    isStandalone: false,
    onEffect: (sim, host, effect) => {
      answerOrder(sim, host, effect);
      start(sim, host, effect);
      if (effect.type === 'failRequest') ended.set(effect.id, effect.failure);
      if (effect.type === 'finishRequest') ended.set(effect.id, 'finished');
      if (effect.type !== 'readEngine') return;
      const engine = effect.engine;
      sim.dispatchLater(host, () => {
        const { isDown, boot } = getEngine(engine);
        if (isDown) return { type: 'engineUnreachable', engine, refused: true };
        const residents = [...(host.state.grants.owned.get(engine)?.residents.keys() ?? [])];
        const report = { bootId: `b${boot}`, running: {}, waiting: 0, slots: 4, residents };
        return { type: 'engineReported', engine, report };
      });
    },
  });
  return { simulation, engines, crashes, ended };
}

function sendRequest({ simulation }: World, id: string, host: StepHost): void {
  const fingerprint = sha256(id.split('-')[0] ?? '');
  const deadline = simulation.now + 60_000;
  const request = newRequest(id, { version: 'v1', deadline, fingerprint });
  simulation.dispatch(host, { type: 'requestArrived', request });
}

function getFingerprintOf(body: string): string {
  return getFingerprint('a@v1', sha256(body));
}

/** Waits until the hosts agree on the owners and every owner has a report of its engines. */
function waitUntilReady({ simulation }: World): void {
  const isReady = () => {
    const states = simulation.getHosts().map(({ state }) => state);
    const owned = states.flatMap(({ grants, engines }) =>
      [...grants.owned.keys()].filter((id) => engines.views.get(id)?.bootId),
    );
    const epochs = new Set(states.map(({ ownership }) => ownership.row?.epoch));
    const members = states[0]?.ownership.row?.members.length;
    return epochs.size === 1 && members === HOSTS.length && owned.length === ENGINES;
  };
  simulation.runUntil(isReady, 100_000);
}

/** Sends `bad` repeatedly to random hosts, among requests that do not crash engines. */
function run(seed: number): World {
  const world = newWorld(seed);
  const { simulation, ended, engines } = world;
  waitUntilReady(world);
  let good = 0;
  for (let repeat = 0; repeat < 6; repeat++) {
    const harmless: string[] = [];
    for (let i = 0; i < 6; i++) {
      const id = `good${good++}-1`;
      harmless.push(id);
      sendRequest(world, id, simulation.pickRandom(simulation.getHosts()));
      if (i === 3)
        sendRequest(world, `bad-${repeat}`, simulation.pickRandom(simulation.getHosts()));
    }
    simulation.runUntil(() => ended.has(`bad-${repeat}`) && harmless.every((id) => ended.has(id)));
    // A repeat from the caller takes longer than a message between hosts.
    simulation.runUntil(() => !simulation.hasMessages());
    // The caller repeats after its response; a crashed engine restarts without adapters.
    if (simulation.drawChance(0.5)) for (const engine of engines.values()) engine.isDown = false;
  }
  return world;
}

describe('a request that crashes each engine that runs it', () => {
  it('crashes at most two engines, also when its caller repeats it on other hosts', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        const { crashes, ended, simulation } = run(seed);
        expect(crashes.length).toBeLessThanOrEqual(2);
        expect(ended.get('bad-5')).toMatchObject({
          kind: 'request_quarantined',
          outcome: 'not_run',
        });
        for (const { state } of simulation.getHosts()) {
          expect(getSuspicion(state, getFingerprintOf('bad'))).toBe('quarantined');
        }
      }),
      { seed: 20261203, numRuns: 150 },
    );
  });

  it('does not fail or quarantine other requests on the same engines', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        const { ended, simulation } = run(seed);
        for (const [id, end] of ended) {
          if (!id.startsWith('good')) continue;
          expect(end).toBe('finished');
          const fingerprint = getFingerprintOf(id.split('-')[0] ?? '');
          for (const { state } of simulation.getHosts()) {
            expect(getSuspicion(state, fingerprint)).toBe('clear');
          }
        }
      }),
      { seed: 20261203, numRuns: 150 },
    );
  });
});
