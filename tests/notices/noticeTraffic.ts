import { GatewayCluster } from '../helpers/gatewayCluster.ts';
import { LimitedTraffic } from '../helpers/limitedTraffic.ts';

const WARM_UP_MS = 3_000;
const WORK_MS = 40;
const SKEWED_SHARE = 0.8;
const ENGINE_REQUEST = { labels: { model: 'base', promptTokens: 100, outputTokens: 10 } };

/** Linked hosts that have got requests for some time. */
export interface NoticeTraffic {
  cluster: GatewayCluster;
  traffic: LimitedTraffic;
}

/**
 * Starts hosts in up to three zones and requests of all of them; `perS` counts these together. If they are
 * skewed, four of five arrive at the first host.
 */
export function startNoticeTraffic(options: {
  hosts: number;
  service: 'desk' | 'llm';
  endpoints: number;
  perS: number;
  isSkewed?: boolean;
}): NoticeTraffic {
  const { hosts, service, endpoints, perS, isSkewed = false } = options;
  const cluster = GatewayCluster.create({
    hosts,
    endpoints,
    service,
    zones: Math.min(3, hosts),
    route: { kind: 'safe', attempts: 2, timeoutMs: 2_500, targets: [{ service, weight: 1 }] },
  });
  cluster.getWorkMs = () => WORK_MS;
  const traffic = LimitedTraffic.create(cluster, {
    seed: 3,
    perS,
    chooseHost: (random, count) =>
      isSkewed && random.getFraction() < SKEWED_SHARE ? 0 : random.getInteger(count),
    traits: service === 'llm' ? ENGINE_REQUEST : {},
  });
  traffic.run(WARM_UP_MS);
  return { cluster, traffic };
}
