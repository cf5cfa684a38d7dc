import { describe, expect, it } from 'vitest';
import type { Random } from '../../src/base/random.ts';
import { GatewayCluster } from '../helpers/gatewayCluster.ts';
import { getArrivals, getLargestExcess, LimitedTraffic } from '../helpers/limitedTraffic.ts';

/** How requests are spread over hosts. */
const ONE = () => 0;
const ALL = (random: Random, hosts: number) => random.getInteger(hosts);
const SKEWED = (random: Random, hosts: number) =>
  random.getFraction() < 0.8 ? 0 : random.getInteger(hosts);

const WARM_UP_MS = 12_000;
const LIMITED_MS = 30_000;
const SETTLED_MS = 4_000;
const ENGINE_REQUEST = { labels: { model: 'base', promptTokens: 100, outputTokens: 10 } };

type Spread = 'one' | 'all' | 'skewed';
const SPREADS = { one: ONE, all: ALL, skewed: SKEWED };

interface Case {
  hosts: number;
  service: 'desk' | 'llm';
  endpoints: number;
  limits: Record<string, number>;
  spread: Spread;
  perS?: number;
}

function start({ hosts, service, endpoints, spread, perS = 40 }: Case) {
  const cluster = GatewayCluster.create({
    hosts,
    endpoints,
    service,
    route: { kind: 'safe', attempts: 2, timeoutMs: 2_500, targets: [{ service, weight: 1 }] },
  });
  cluster.getWorkMs = () => 40;
  const traffic = LimitedTraffic.create(cluster, {
    seed: 1,
    perS,
    chooseHost: SPREADS[spread],
    traits: service === 'llm' ? ENGINE_REQUEST : {},
  });
  return { cluster, traffic };
}

describe('an endpoint that names a limit gets no more requests than that', () => {
  it.each<[string, Case]>([
    [
      'from one host',
      { hosts: 1, service: 'desk', endpoints: 1, limits: { e0: 2 }, spread: 'one' },
    ],
    ['from three', { hosts: 3, service: 'desk', endpoints: 1, limits: { e0: 2 }, spread: 'all' }],
    ['from seven', { hosts: 7, service: 'desk', endpoints: 4, limits: { e0: 1 }, spread: 'all' }],
    ['by skew', { hosts: 7, service: 'desk', endpoints: 1, limits: { e0: 3 }, spread: 'skewed' }],
    ['as an engine', { hosts: 3, service: 'llm', endpoints: 1, limits: { e0: 2 }, spread: 'all' }],
    [
      'as engines beside others',
      { hosts: 7, service: 'llm', endpoints: 6, limits: { e0: 1.1, e1: 1 }, spread: 'all' },
    ],
    [
      'when all endpoints name one',
      {
        hosts: 7,
        service: 'desk',
        endpoints: 4,
        limits: { e0: 1, e1: 0.5, e2: 2, e3: 4 },
        spread: 'skewed',
      },
    ],
    ['of zero', { hosts: 3, service: 'desk', endpoints: 2, limits: { e0: 0 }, spread: 'all' }],
  ])('%s', (_name, options) => {
    const { cluster, traffic } = start(options);
    traffic.run(WARM_UP_MS);
    const namedAt = cluster.now;
    for (const [endpoint, perS] of Object.entries(options.limits))
      cluster.namedLimits.set(endpoint, perS);
    traffic.run(LIMITED_MS);
    for (const [endpoint, perS] of Object.entries(options.limits)) {
      expect(getLargestExcess(cluster, endpoint)).toBeLessThanOrEqual(0);
      const settledAt = namedAt + SETTLED_MS;
      const allowed = (perS * (cluster.now - settledAt)) / 1_000;
      const { length } = getArrivals(cluster, endpoint, settledAt);
      // The limit itself, with what a bucket of one second and probes of a limit of zero add.
      expect(length).toBeLessThanOrEqual(allowed + perS + 6);
      expect(length).toBeGreaterThanOrEqual(0.9 * allowed);
    }
  });
});
