import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type EndpointReaction, GatewayCluster } from '../helpers/gatewayCluster.ts';

const HOSTS = 7;
/** Time after which a host knows of a crash, and after which a host that was cut off is current. */
const STABLE_MS = 3_000;
const MAX_LATE_ATTEMPTS = 3;

type Step =
  | { type: 'repeat'; host: number; pauseMs: number; reaction: EndpointReaction }
  | { type: 'restart'; host: number }
  | { type: 'cutLinks'; hosts: number[] }
  | { type: 'healLinks' }
  | { type: 'cutDirectory'; hosts: number[] }
  | { type: 'healDirectory' };

type StepRunners = {
  [T in Step['type']]: (world: World, step: Extract<Step, { type: T }>) => void;
};

interface World {
  cluster: GatewayCluster;
  /** Monotonic ms until which an attempt of each host does not count. */
  unstableUntil: Map<string, number>;
  countedAttempts: number[];
}

const host = fc.integer({ min: 0, max: HOSTS - 1 });
const someHosts = fc.uniqueArray(host, { minLength: 1, maxLength: HOSTS });
const pauseMs = fc.integer({ min: 300, max: 4_000 });

function newRepeat(...reactions: EndpointReaction[]): fc.Arbitrary<Step> {
  const reaction = fc.constantFrom(...reactions);
  return fc.record({ type: fc.constant('repeat' as const), host, pauseMs, reaction });
}

const changes: fc.Arbitrary<Step>[] = [
  fc.record({ type: fc.constant('restart' as const), host }),
  fc.record({ type: fc.constant('cutLinks' as const), hosts: someHosts }),
  fc.constant({ type: 'healLinks' as const }),
];
const directoryChanges: fc.Arbitrary<Step>[] = [
  fc.record({ type: fc.constant('cutDirectory' as const), hosts: someHosts }),
  fc.constant({ type: 'healDirectory' as const }),
];

const runners: StepRunners = {
  repeat: ({ cluster, unstableUntil, countedAttempts }, step) => {
    const id = cluster.ids[step.host] ?? '';
    cluster.react = () => step.reaction;
    const before = cluster.crashes.length;
    const isStable = cluster.hasDirectory(id) && (unstableUntil.get(id) ?? 0) <= cluster.now;
    const sentAt = cluster.now;
    const request = cluster.request(id, 'crashing');
    cluster.advance(step.pauseMs);
    cluster.cancel(id, request);
    if (isStable && cluster.crashes.length > before) countedAttempts.push(sentAt);
  },
  restart: (world, step) => {
    const id = world.cluster.ids[step.host] ?? '';
    if (!world.cluster.hasDirectory(id)) return;
    world.cluster.startHost(id);
    markUnstable(world, [id]);
  },
  cutLinks: ({ cluster }, { hosts }) => cluster.cutLinks(hosts.map((index) => `h${index}`)),
  healLinks: ({ cluster }) => {
    cluster.healLinks();
  },
  cutDirectory: (world, { hosts }) => {
    const ids = hosts.map((index) => `h${index}`).filter((id) => world.cluster.hasDirectory(id));
    world.cluster.cutDirectory(ids);
  },
  healDirectory: (world) => {
    const ids = world.cluster.ids.filter((id) => !world.cluster.hasDirectory(id));
    world.cluster.healDirectory();
    markUnstable(world, ids);
  },
};

function markUnstable({ cluster, unstableUntil }: World, ids: readonly string[]): void {
  for (const id of ids) unstableUntil.set(id, cluster.now + STABLE_MS);
}

/** Returns the attempts of stable hosts later than `STABLE_MS` after the third crash. */
function playSteps(steps: readonly Step[]): number {
  const cluster = GatewayCluster.create({ hosts: HOSTS });
  const world: World = { cluster, unstableUntil: new Map(), countedAttempts: [] };
  for (const step of steps) {
    const run = runners[step.type] as (world: World, step: Step) => void;
    run(world, step);
  }
  const third = cluster.crashes[2];
  if (third === undefined) return 0;
  return world.countedAttempts.filter((at) => at > third.at + STABLE_MS).length;
}

const options = { seed: Number(process.env.SEED ?? 17), numRuns: Number(process.env.TRIALS ?? 40) };

// Guards against hosts that go on sending a request that crashes endpoints, because one of them did
// not learn of a crash, or lost what it knew.
describe('a request that crashes endpoints reaches them in few late attempts', () => {
  it.each<[string, fc.Arbitrary<Step>[]]>([
    [
      'while hosts restart and lose links and the directory',
      [newRepeat('crash', 'crash', 'crash', 'fail'), ...changes, ...directoryChanges],
    ],
    [
      'while endpoints fall silent, hosts restart and lose links',
      [newRepeat('crash', 'crashSilently', 'fail'), ...changes],
    ],
  ])('%s', (_name, [repeat, ...others]) => {
    if (repeat === undefined) throw new Error('the case has no repeat');
    const step = fc.oneof({ weight: 6, arbitrary: repeat }, ...others);
    const steps = fc.array(step, { minLength: 30, maxLength: 60 });
    fc.assert(
      fc.property(steps, (played) => {
        expect(playSteps(played)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
      }),
      options,
    );
  });
});
