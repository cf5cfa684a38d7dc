import { describe, expect, it } from 'vitest';
import { GatewayCluster, type RequestTraits } from '../helpers/gatewayCluster.ts';
import { PromptTraffic } from '../helpers/promptTraffic.ts';

const HOSTS = 7;
const ENDPOINTS = 6;
const POISON = 'poison';
/** Time after the fifth crash by which hosts must know of it, and attempts that may follow. */
const KNOWN_AFTER_MS = 3_000;
const MAX_LATE_ATTEMPTS = 3;
/** Endpoints that may crash before the first trial, which follows half a minute after the quarantine. */
const MAX_CRASHES = 3;
const TRIAL_AFTER_MS = 30_000;
/** Share of the sound requests that are served later than this after the last crash. */
const MIN_SERVED_SHARE = 0.9;
const RECOVERED_AFTER_MS = 6_000;
const SEEDS = [1, 2, 3];

type Poison = (traits: RequestTraits) => void;

const addPart =
  (index: number): Poison =>
  ({ labels }) => {
    if (labels !== undefined)
      labels.promptParts = [...(labels.promptParts ?? [])].toSpliced(index, 0, POISON);
  };

/** Creates a cluster whose endpoints crash on each request that has the poison in one of its traits. */
function createCluster(): GatewayCluster {
  const cluster = GatewayCluster.create({ hosts: HOSTS, endpoints: ENDPOINTS, hasOutages: true });
  cluster.react = (_fingerprint, traits) =>
    JSON.stringify(traits).includes(POISON) ? 'crash' : 'answer';
  cluster.getWorkMs = (reaction) => (reaction === 'crash' ? 200 : 400);
  return cluster;
}

function countCrashesBeforeTrial({ crashTimes }: GatewayCluster): number {
  const [first = 0] = crashTimes;
  return crashTimes.filter((at) => at < first + TRIAL_AFTER_MS).length;
}

function countLateAttempts({ sent, crashTimes }: GatewayCluster): number {
  const fifth = crashTimes[4];
  if (fifth === undefined) return 0;
  return sent.filter(({ reaction, at }) => reaction === 'crash' && at > fifth + KNOWN_AFTER_MS)
    .length;
}

/** Returns the share of the sound requests served that arrived late enough after the last counted crash. */
function getServedShare({ sent, crashTimes }: GatewayCluster, { drawn }: PromptTraffic): number {
  const crashedAt = crashTimes[Math.min(4, crashTimes.length - 1)] ?? 0;
  const sound = drawn.filter(
    ({ isPoisonPill, arrivedAt }) => !isPoisonPill && arrivedAt > crashedAt + RECOVERED_AFTER_MS,
  );
  const served = new Set(
    sent.filter(({ reaction }) => reaction === 'answer').map(({ fingerprint }) => fingerprint),
  );
  return sound.filter(({ fingerprint }) => served.has(fingerprint)).length / sound.length;
}

describe('requests that differ but share what crashes endpoints stop reaching them', () => {
  it.each<[string, Poison, (cluster: GatewayCluster, traffic: PromptTraffic) => void]>([
    ['when it is the last shared part of a prompt', addPart(2), () => undefined],
    ['when it is a part in the middle of a prompt', addPart(1), () => undefined],
    ['when it is the first part of a prompt', addPart(0), () => undefined],
    [
      'when it is an adapter',
      ({ labels }) => Object.assign(labels ?? {}, { adapter: `base/${POISON}` }),
      () => undefined,
    ],
    ['when it is a caller', (traits) => Object.assign(traits, { caller: POISON }), () => undefined],
    [
      'when hosts restart one after another',
      addPart(2),
      (cluster, traffic) => {
        for (const host of cluster.ids) {
          traffic.run(1_500);
          cluster.startHost(host);
        }
      },
    ],
    [
      'when all hosts restart at once',
      addPart(2),
      (cluster, traffic) => {
        traffic.run(5_000);
        for (const host of cluster.ids) cluster.startHost(host);
      },
    ],
    ['when hosts have no links', addPart(2), (cluster) => cluster.cutLinks(cluster.ids)],
    [
      'when the directory is unavailable',
      addPart(2),
      (cluster) => cluster.cutDirectory(cluster.ids),
    ],
  ])('%s', (_name, poison, disturb) => {
    for (const seed of SEEDS) {
      const cluster = createCluster();
      const traffic = PromptTraffic.create(cluster, { seed, share: 0.05, poison });
      traffic.run(4_000, { hasPoisonPills: false });
      disturb(cluster, traffic);
      traffic.run(50_000);
      expect(cluster.crashTimes.length, `seed ${seed}`).toBeGreaterThan(0);
      expect(countCrashesBeforeTrial(cluster), `seed ${seed}`).toBeLessThanOrEqual(MAX_CRASHES);
      expect(countLateAttempts(cluster), `seed ${seed}`).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
      expect(getServedShare(cluster, traffic), `seed ${seed}`).toBeGreaterThan(MIN_SERVED_SHARE);
    }
  });
});
