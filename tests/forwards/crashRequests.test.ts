import { describe, expect, it } from 'vitest';
import { GatewayCluster } from '../helpers/gatewayCluster.ts';

const HOSTS = 7;
const CRASHING = 'crashing';
/** Time after the third crash by which hosts must know of it, and attempts that may follow. */
const KNOWN_AFTER_MS = 3_000;
const MAX_LATE_ATTEMPTS = 3;

/** Creates a cluster in which each attempt of the request crashes its endpoint. */
function createCluster(reaction: 'crash' | 'crashSilently' = 'crash'): GatewayCluster {
  const cluster = GatewayCluster.create({ hosts: HOSTS });
  cluster.react = (fingerprint) => (fingerprint === CRASHING ? reaction : 'answer');
  return cluster;
}

/** Sends the request to each host in turn, `rounds` times, with `pauseMs` between two of them. */
function repeatOnAllHosts(cluster: GatewayCluster, rounds: number, pauseMs: number): void {
  for (let round = 0; round < rounds; round++) {
    for (const host of cluster.ids) {
      cluster.request(host, CRASHING);
      cluster.advance(pauseMs);
    }
  }
}

function countLateAttempts({ crashes }: GatewayCluster): number {
  const third = crashes[2];
  return third === undefined
    ? 0
    : crashes.filter(({ at }) => at > third.at + KNOWN_AFTER_MS).length;
}

describe('a request that crashes the endpoints that run it stops reaching them', () => {
  it.each<[string, (cluster: GatewayCluster) => void]>([
    [
      'when its caller repeats it on one host after another',
      (cluster) => {
        repeatOnAllHosts(cluster, 3, 1_000);
      },
    ],
    [
      'when its repeats are minutes apart',
      (cluster) => {
        repeatOnAllHosts(cluster, 2, 120_000);
      },
    ],
    [
      'when other endpoints answer with an error in between',
      (cluster) => {
        let attempts = 0;
        cluster.react = () => (attempts++ % 3 === 2 ? 'fail' : 'crash');
        repeatOnAllHosts(cluster, 4, 1_000);
      },
    ],
    [
      'when hosts restart between the repeats',
      (cluster) => {
        for (const host of [...cluster.ids, ...cluster.ids]) {
          cluster.request(host, CRASHING);
          cluster.advance(1_000);
          cluster.startHost(host);
          cluster.advance(1_000);
        }
      },
    ],
    [
      'when all hosts restart at once',
      (cluster) => {
        repeatOnAllHosts(cluster, 1, 1_000);
        for (const host of cluster.ids) cluster.startHost(host);
        cluster.advance(1_000);
        repeatOnAllHosts(cluster, 2, 1_000);
      },
    ],
    [
      'when hosts have no links and the directory is available',
      (cluster) => {
        cluster.cutLinks(cluster.ids);
        repeatOnAllHosts(cluster, 3, 1_000);
      },
    ],
    [
      'when hosts have no links and its repeats are seconds apart',
      (cluster) => {
        cluster.cutLinks(cluster.ids);
        repeatOnAllHosts(cluster, 2, 9_000);
      },
    ],
    [
      'when the directory is unavailable and hosts have links',
      (cluster) => {
        cluster.cutDirectory(cluster.ids);
        repeatOnAllHosts(cluster, 3, 1_000);
      },
    ],
  ])('%s', (_name, play) => {
    const cluster = createCluster();
    play(cluster);
    expect(cluster.crashes.length).toBeGreaterThanOrEqual(3);
    expect(countLateAttempts(cluster)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('when its endpoints fall silent and callers close their connections first', () => {
    const cluster = createCluster('crashSilently');
    for (const host of [...cluster.ids, ...cluster.ids]) {
      const id = cluster.request(host, CRASHING);
      cluster.advance(500);
      cluster.cancel(host, id);
      cluster.advance(2_500);
    }
    expect(countLateAttempts(cluster)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('when its endpoints fall silent and its attempts end at the deadline', () => {
    const cluster = createCluster('crashSilently');
    repeatOnAllHosts(cluster, 2, 3_000);
    expect(countLateAttempts(cluster)).toBeLessThanOrEqual(MAX_LATE_ATTEMPTS);
  });

  it('when it waits for a retry on one host while it crashes endpoints of others', () => {
    const cluster = GatewayCluster.create({ hosts: 2 });
    cluster.react = () => 'crash';
    const host = cluster.hosts.get('h1');
    host?.receiveForward({ id: 'waiting', fingerprint: CRASHING });
    const [sent] = host?.takeEffects('sendForward') ?? [];
    if (sent === undefined) throw new Error('the request was not sent');
    for (let repeat = 0; repeat < 3; repeat++) cluster.request('h0', CRASHING);
    cluster.advance(100);
    const { id, attempt } = sent.spec;
    const outcome = { type: 'notRun' as const, reason: 'full' as const };
    host?.dispatch({ type: 'forwardEnded', id, attempt, outcome });
    cluster.advance(1_000);
    expect(cluster.sent.filter((send) => send.host === 'h1')).toEqual([]);
  });
});

describe('a request that does not crash endpoints is served', () => {
  it('after its attempts broke on endpoints that go on serving other requests', () => {
    const cluster = GatewayCluster.create({ hosts: 3 });
    let isBreaking = true;
    cluster.react = (fingerprint) => (fingerprint === 'broken' && isBreaking ? 'break' : 'answer');
    for (const host of cluster.ids) cluster.request(host, 'broken');
    for (let second = 0; second < 20; second++) {
      for (const host of cluster.ids) {
        for (let other = 0; other < 4; other++) cluster.request(host, `other ${other}`);
      }
      cluster.advance(1_000);
    }
    isBreaking = false;
    const { length } = cluster.results;
    cluster.request('h0', 'broken');
    cluster.advance(100);
    expect(cluster.results.slice(length)).toEqual(['passed']);
  });

  it('after one of its attempts was answered, however often others broke before', () => {
    const cluster = GatewayCluster.create({ hosts: 2 });
    const reactions = ['crash', 'crash', 'answer', 'crash', 'crash', 'answer'] as const;
    let attempts = 0;
    cluster.react = () => reactions[attempts++] ?? 'answer';
    while (cluster.sent.length < reactions.length) {
      cluster.request('h0', 'unlucky');
      cluster.advance(2_000);
    }
    expect(cluster.results.filter((result) => result === 'passed')).toHaveLength(2);
  });

  it('a minute after it ran on endpoints that crashed for another reason', () => {
    const cluster = GatewayCluster.create({ hosts: 3 });
    const reactions = ['crash', 'crash', 'crash'] as const;
    cluster.react = () => reactions[cluster.sent.length] ?? 'answer';
    for (const host of cluster.ids) cluster.request(host, 'bystander');
    cluster.advance(1_000);
    cluster.request('h0', 'bystander');
    cluster.advance(60_000);
    cluster.request('h0', 'bystander');
    cluster.advance(100);
    expect(cluster.results.slice(3)).toEqual(['service_unavailable', 'passed']);
  });
});
