import { describe, expect, it } from 'vitest';
import { getArrivals } from '../helpers/limitedTraffic.ts';
import { getSendsAfterLeaving } from '../helpers/noticeChecks.ts';
import { type NoticeTraffic, startNoticeTraffic } from './noticeTraffic.ts';

/** Time within which a host tells the others. */
const TOLD_MS = 300;

function start(hosts: number, service: 'desk' | 'llm', endpoints = 3): NoticeTraffic {
  return startNoticeTraffic({ hosts, service, endpoints, perS: 40 });
}

describe('an endpoint that says that it leaves gets no more requests', () => {
  it.each<[string, number, 'desk' | 'llm']>([
    ['of one host, as a plain service', 1, 'desk'],
    ['of one host, as an engine', 1, 'llm'],
    ['of three, as a plain service', 3, 'desk'],
    ['of three, as an engine', 3, 'llm'],
    ['of seven, as a plain service', 7, 'desk'],
    ['of seven, as an engine', 7, 'llm'],
  ])('%s', (_name, hosts, service) => {
    const { cluster, traffic } = start(hosts, service);
    cluster.leaving.add('e0');
    traffic.run(10_000);
    expect(getSendsAfterLeaving(cluster)).toEqual([]);
    // Hosts that had no such answer learn of it from one that had.
    const firstToldAt = cluster.notices[0]?.at ?? Infinity;
    expect(getArrivals(cluster, 'e0', firstToldAt + TOLD_MS)).toEqual([]);
    expect(getArrivals(cluster, 'e1', firstToldAt + TOLD_MS).length).toBeGreaterThan(100);
    expect(traffic.refused).toEqual([]);
  });

  it.each<[string, (world: NoticeTraffic) => void]>([
    ['while hosts have no links', ({ cluster }) => cluster.cutLinks(cluster.ids)],
    [
      'while links are cut and open again',
      ({ cluster, traffic }) => {
        cluster.cutLinks(cluster.ids.slice(0, 2));
        traffic.run(2_000);
        cluster.healLinks();
      },
    ],
    ['while the directory is unavailable', ({ cluster }) => cluster.cutDirectory(cluster.ids)],
    [
      'while hosts restart',
      ({ cluster, traffic }) => {
        for (const id of cluster.ids) {
          cluster.startHost(id);
          traffic.run(400);
        }
      },
    ],
    ['while hosts are frozen', ({ cluster }) => cluster.freeze(cluster.ids.slice(0, 3), 2_500)],
    [
      'when the directory has a row from before',
      ({ cluster }) => cluster.register('e0', { sequence: 5, isLeaving: false }),
    ],
    [
      'when another host tells of an earlier start',
      ({ cluster }) => {
        const leaving = [{ endpoint: 'e1', startedAt: 0 }];
        for (const host of cluster.hosts.values())
          host.receiveMessage('h1', { type: 'endpointLimitsAnnounced', limits: [], leaving });
      },
    ],
    [
      'when it limits its requests and some wait for permits',
      ({ cluster, traffic }) => {
        cluster.leaving.delete('e0');
        for (const endpoint of ['e0', 'e1', 'e2']) cluster.namedLimits.set(endpoint, 1);
        traffic.run(5_000);
        cluster.leaving.add('e0');
      },
    ],
    [
      'when it fails requests',
      ({ cluster }) => {
        cluster.react = () => 'fail';
      },
    ],
    [
      'when it breaks requests',
      ({ cluster }) => {
        cluster.react = () => 'break';
      },
    ],
  ])('%s', (_name, disturb) => {
    const world = start(7, 'desk');
    const { cluster, traffic } = world;
    cluster.leaving.add('e0');
    traffic.run(200);
    disturb(world);
    traffic.run(6_000);
    expect(getSendsAfterLeaving(cluster)).toEqual([]);
    expect(getArrivals(cluster, 'e1', cluster.now - 3_000).length).toBeGreaterThan(0);
  });

  it('of hosts that get few requests, when one gets most', () => {
    const options = { hosts: 7, service: 'desk' as const, endpoints: 3, perS: 40, isSkewed: true };
    const { cluster, traffic } = startNoticeTraffic(options);
    cluster.leaving.add('e0');
    traffic.run(10_000);
    expect(getSendsAfterLeaving(cluster)).toEqual([]);
    const firstToldAt = cluster.notices[0]?.at ?? Infinity;
    expect(getArrivals(cluster, 'e0', firstToldAt + TOLD_MS)).toEqual([]);
  });

  it('until it has started again, under the same id and address', () => {
    const { cluster, traffic } = start(3, 'desk');
    cluster.leaving.add('e0');
    traffic.run(3_000);
    cluster.restartAtOnce('e0');
    traffic.run(3_000);
    expect(getArrivals(cluster, 'e0', cluster.now - 2_500).length).toBeGreaterThan(10);
  });

  it('and the others refuse requests at once when all leave', () => {
    const { cluster, traffic } = start(3, 'desk');
    for (const endpoint of ['e0', 'e1', 'e2']) cluster.leaving.add(endpoint);
    traffic.run(1_000);
    const from = cluster.now;
    traffic.run(5_000);
    expect(cluster.sent.filter(({ at }) => at > from)).toEqual([]);
    const refused = traffic.refused.filter(({ arrivedAt }) => arrivedAt > from);
    expect(refused.length).toBeGreaterThan(100);
    for (const { arrivedAt, refusedAt, returnMs } of refused) {
      expect(refusedAt).toBe(arrivedAt);
      expect(returnMs).toBeGreaterThanOrEqual(1_000);
      expect(returnMs).toBeLessThanOrEqual(2_000);
    }
    cluster.register('e9', { id: 'e9', service: 'desk', address: '10.0.1.9:80' });
    const servedFrom = cluster.now;
    traffic.run(1_000);
    expect(getArrivals(cluster, 'e9', servedFrom).length).toBeGreaterThan(20);
  });
});
