import { describe, expect, it } from 'vitest';
import { type EndpointRestart, GatewayCluster } from '../helpers/gatewayCluster.ts';

const HOSTS = 7;
const ZONES = 4;
const CRASHING = 'crashing';
/** Time from the start of an attempt to the crash, shorter than the time that an endpoint stays up. */
const CRASH_AFTER_MS = 300;
/** Time after the third crash by which hosts must know of it, and attempts that may follow. */
const KNOWN_AFTER_MS = 3_000;
const MAX_LATE_ATTEMPTS = 3;
const RECORDED_RESTART: EndpointRestart = { afterMs: 3_100, hasNewId: true, entryTtlMs: 4_000 };
const LONG_ENTRY: EndpointRestart = { ...RECORDED_RESTART, entryTtlMs: 12_000 };

function createCluster(restart = RECORDED_RESTART): GatewayCluster {
  const cluster = GatewayCluster.create({
    hosts: HOSTS,
    zones: ZONES,
    route: { kind: 'safe', attempts: 2, timeoutMs: 2_500 },
    hasOutages: true,
    restart,
  });
  cluster.react = (fingerprint) => (fingerprint === CRASHING ? 'crash' : 'answer');
  cluster.getWorkMs = (reaction) => (reaction === 'crash' ? CRASH_AFTER_MS : 40);
  return cluster;
}

/** Sends the request to a host of another zone every `pauseMs`, for `durationMs`. */
function repeatInAllZones(cluster: GatewayCluster, pauseMs: number, durationMs: number): void {
  for (let copy = 0; copy * pauseMs < durationMs; copy++) {
    cluster.request(cluster.ids[copy % HOSTS] ?? '', CRASHING);
    cluster.advance(pauseMs);
  }
}

function requestOnAllHosts(cluster: GatewayCluster): void {
  for (const host of cluster.ids) cluster.request(host, CRASHING);
}

function countLateAttempts({ crashTimes, sent }: GatewayCluster): number {
  const third = crashTimes[2] ?? Infinity;
  return sent.filter(
    ({ fingerprint, at }) => fingerprint === CRASHING && at > third + KNOWN_AFTER_MS,
  ).length;
}

describe('a request that ends endpoints which come back under new ids stops reaching them', () => {
  it.each<[string, EndpointRestart, (cluster: GatewayCluster) => void]>([
    [
      'when copies arrive in all zones in turn',
      RECORDED_RESTART,
      (cluster) => repeatInAllZones(cluster, 700, 24_000),
    ],
    [
      'when copies arrive in all zones at the same moment',
      RECORDED_RESTART,
      (cluster) => {
        for (let round = 0; round < 8; round++) {
          requestOnAllHosts(cluster);
          cluster.advance(3_500);
        }
      },
    ],
    [
      'when copies arrive again after 40 s',
      RECORDED_RESTART,
      (cluster) => {
        repeatInAllZones(cluster, 700, 9_000);
        cluster.advance(40_000);
        repeatInAllZones(cluster, 700, 9_000);
      },
    ],
    [
      'when a host starts between two copies',
      RECORDED_RESTART,
      (cluster) => {
        for (let copy = 0; copy < 4 * HOSTS; copy++) {
          const host = cluster.ids[copy % HOSTS] ?? '';
          cluster.startHost(host);
          cluster.advance(500);
          cluster.request(host, CRASHING);
          cluster.advance(500);
        }
      },
    ],
    [
      'when each host is cut off from the others between two copies',
      RECORDED_RESTART,
      (cluster) => {
        for (let copy = 0; copy < 4 * HOSTS; copy++) {
          const host = cluster.ids[copy % HOSTS] ?? '';
          cluster.cutLinks([host]);
          cluster.advance(500);
          cluster.request(host, CRASHING);
          cluster.advance(500);
          cluster.healLinks();
        }
      },
    ],
    [
      'when entries stay after the crash was verified',
      LONG_ENTRY,
      (cluster) => repeatInAllZones(cluster, 700, 60_000),
    ],
    [
      'when entries stay and endpoints restart within half a second',
      { ...LONG_ENTRY, afterMs: 400 },
      (cluster) => repeatInAllZones(cluster, 700, 60_000),
    ],
    [
      'when entries stay and the next endpoint accepts connections at the address at once',
      { ...LONG_ENTRY, afterMs: 0 },
      (cluster) => repeatInAllZones(cluster, 700, 60_000),
    ],
    [
      'when entries stay and copies arrive at the same moment, twelve seconds apart',
      { ...LONG_ENTRY, afterMs: 400 },
      (cluster) => {
        for (let round = 0; round < 6; round++) {
          requestOnAllHosts(cluster);
          cluster.advance(12_000);
        }
      },
    ],
  ])('%s', (_name, restart, play) => {
    const cluster = createCluster(restart);
    play(cluster);
    expect(cluster.crashTimes.length).toBeGreaterThanOrEqual(3);
    expect(countLateAttempts(cluster)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });
});
