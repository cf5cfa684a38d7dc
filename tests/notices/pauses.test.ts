import { describe, expect, it } from 'vitest';
import { getArrivals } from '../helpers/limitedTraffic.ts';
import { getMostSendsInPause } from '../helpers/noticeChecks.ts';
import { type NoticeTraffic, startNoticeTraffic } from './noticeTraffic.ts';

function start(hosts: number, service: 'desk' | 'llm', endpoints: number): NoticeTraffic {
  return startNoticeTraffic({ hosts, service, endpoints, perS: 60 });
}

describe('an endpoint that turns requests away for a time gets none of that host within it', () => {
  it.each<[string, number, 'desk' | 'llm', number, number]>([
    ['the last one, from one host', 1, 'desk', 1, 5_000],
    ['the last engine, from one host', 1, 'llm', 1, 5_000],
    ['the last one, from three hosts', 3, 'desk', 1, 5_000],
    ['the last engine, from three hosts', 3, 'llm', 1, 5_000],
    ['one of three, from seven hosts', 7, 'desk', 3, 4_000],
    ['one of three engines, from seven hosts', 7, 'llm', 3, 4_000],
    ['for a fraction of a second', 3, 'desk', 2, 800],
  ])('%s', (_name, hosts, service, endpoints, pauseMs) => {
    const { cluster, traffic } = start(hosts, service, endpoints);
    cluster.namedPauses.set('e0', pauseMs);
    traffic.run(12_000);
    expect(cluster.notices.length).toBeGreaterThan(0);
    expect(getMostSendsInPause(cluster)).toBe(0);
    if (endpoints > 1) expect(traffic.refused).toEqual([]);
  });

  it.each<[string, number]>([
    ['a minute', 60_000],
    ['an hour', 3_600_000],
    ['a time without end', Number.MAX_SAFE_INTEGER],
  ])('but one trial for each host, when the time is %s', (_name, pauseMs) => {
    const { cluster, traffic } = start(3, 'desk', 1);
    cluster.namedPauses.set('e0', pauseMs);
    traffic.run(59_000);
    expect(getMostSendsInPause(cluster)).toBe(1);
  });

  it.each<[string, (world: NoticeTraffic) => void]>([
    ['while hosts are frozen', ({ cluster }) => cluster.freeze(cluster.ids.slice(0, 3), 1_500)],
    ['while hosts have no links', ({ cluster }) => cluster.cutLinks(cluster.ids)],
    [
      'while hosts restart',
      ({ cluster, traffic }) => {
        for (const id of cluster.ids) {
          cluster.startHost(id);
          traffic.run(400);
        }
      },
    ],
    [
      'when its limit makes some wait for permits',
      ({ cluster, traffic }) => {
        cluster.namedPauses.delete('e0');
        for (const endpoint of ['e0', 'e1']) cluster.namedLimits.set(endpoint, 2);
        traffic.run(5_000);
        cluster.namedPauses.set('e0', 4_000);
      },
    ],
  ])('%s', (_name, disturb) => {
    const world = start(7, 'desk', 2);
    world.cluster.namedPauses.set('e0', 4_000);
    world.traffic.run(300);
    disturb(world);
    world.traffic.run(8_000);
    expect(getMostSendsInPause(world.cluster)).toBe(0);
  });

  it('and gets them again after a trial that it serves', () => {
    const { cluster, traffic } = start(3, 'desk', 2);
    cluster.namedPauses.set('e0', 3_600_000);
    traffic.run(2_000);
    cluster.namedPauses.delete('e0');
    traffic.run(12_000);
    expect(getArrivals(cluster, 'e0', cluster.now - 1_000).length).toBeGreaterThan(10);
  });

  it('and gets them again after a new start', () => {
    const { cluster, traffic } = start(3, 'desk', 2);
    cluster.namedPauses.set('e0', 9_000);
    traffic.run(2_000);
    cluster.restartAtOnce('e0');
    traffic.run(1_000);
    expect(getArrivals(cluster, 'e0', cluster.now - 800).length).toBeGreaterThan(5);
  });

  it('when one host gets most requests', () => {
    const options = { hosts: 7, service: 'desk' as const, endpoints: 2, perS: 60, isSkewed: true };
    const { cluster, traffic } = startNoticeTraffic(options);
    cluster.namedPauses.set('e0', 4_000);
    traffic.run(10_000);
    expect(cluster.notices.length).toBeGreaterThan(0);
    expect(getMostSendsInPause(cluster)).toBe(0);
  });

  it('while a host that it serves goes on', () => {
    const { cluster, traffic } = start(3, 'desk', 1);
    cluster.namedPauses.set('e0', 5_000);
    cluster.request('h0', 'turned away');
    traffic.run(60);
    cluster.namedPauses.delete('e0');
    const told = new Set(cluster.notices.map(({ host }) => host));
    traffic.run(3_000);
    const served = getArrivals(cluster, 'e0', cluster.now - 2_000).map(({ host }) => host);
    expect(new Set(served)).toEqual(new Set(cluster.ids.filter((id) => !told.has(id))));
  });
});

it('requests are refused at once, with the earliest time to return, when all endpoints want none', () => {
  const { cluster, traffic } = start(3, 'desk', 2);
  cluster.namedPauses.set('e0', 8_000);
  cluster.namedPauses.set('e1', 4_000);
  traffic.run(700);
  const from = cluster.now;
  traffic.run(1_000);
  const refused = traffic.refused.filter(({ arrivedAt }) => arrivedAt > from);
  expect(refused.length).toBeGreaterThan(30);
  for (const { arrivedAt, refusedAt, returnMs = 0 } of refused) {
    expect(refusedAt).toBe(arrivedAt);
    const earliestMs = Math.min(
      ...cluster.notices
        .filter(({ endpoint }) => endpoint === 'e1')
        .map(({ at, pauseMs = 0 }) => at + pauseMs - refusedAt),
    );
    expect(returnMs).toBeGreaterThanOrEqual(earliestMs);
    expect(returnMs).toBeLessThanOrEqual(1.5 * 4_000 + 500);
  }
});

it('a time of exactly a second is passed on to callers in full', () => {
  const { cluster, traffic } = start(1, 'desk', 1);
  cluster.namedPauses.set('e0', 1_000);
  traffic.run(200);
  const first = traffic.refused.map(({ returnMs = 0 }) => returnMs);
  expect(Math.min(...first.slice(0, 1))).toBeGreaterThanOrEqual(1_000);
});
