import { Random } from '../../src/base/random.ts';
import type { GatewayCluster, RequestTraits, SentAttempt } from './gatewayCluster.ts';

/** Span in which requests are counted, time after which a limit must hold, and time until a host is told. */
export const WINDOW_MS = 4_000;
export const STABLE_MS = 3_000;
const TOLD_AFTER_MS = 500;
/** Bound on the requests in a window: what the limit allows, times the ratio, plus the slack. */
const EXCESS_RATIO = 1.5;
const EXCESS_SLACK = 5;

interface Options {
  seed: number;
  /** Requests per second of all callers. */
  perS: number;
  /** Returns the index of the host that a request arrives at. */
  chooseHost: (random: Random, hosts: number) => number;
  traits?: RequestTraits;
}

/** A request of a caller, with what became of it. */
interface CallerRequest {
  fingerprint: string;
  arrivedAt: number;
  isReturn: boolean;
}

/** Random requests of callers that come back once after `Retry-After`. */
export class LimitedTraffic {
  /** Refused requests: monotonic ms of arrival and refusal, and the time to return in ms. */
  readonly refused: { arrivedAt: number; refusedAt: number; returnMs: number | undefined }[] = [];
  private readonly random: Random;
  private readonly requests = new Map<string, CallerRequest>();
  private readonly returns: { at: number; fingerprint: string }[] = [];
  private nextAt: number;
  private count = 0;

  private constructor(
    private readonly cluster: GatewayCluster,
    private readonly options: Options,
  ) {
    this.random = Random.create(options.seed);
    this.nextAt = cluster.now;
    cluster.onFailure = (host, request, { retryAfterS }) => {
      const known = this.requests.get(`${host}/${request}`);
      if (known === undefined) return;
      const { arrivedAt } = known;
      const returnMs = retryAfterS === undefined ? undefined : retryAfterS * 1_000;
      this.refused.push({ arrivedAt, refusedAt: cluster.now, returnMs });
      if (retryAfterS === undefined) return;
      const { fingerprint } = known;
      if (!known.isReturn)
        this.returns.push({ at: cluster.now + retryAfterS * 1_000, fingerprint });
    };
  }

  static create(cluster: GatewayCluster, options: Options): LimitedTraffic {
    return new LimitedTraffic(cluster, options);
  }

  run(ms: number): void {
    const until = this.cluster.now + ms;
    while (this.cluster.now < until) {
      while (this.nextAt <= this.cluster.now) {
        this.send(`r${this.count++}`, false);
        this.nextAt += (-Math.log(1 - this.random.getFraction()) * 1_000) / this.options.perS;
      }
      for (const due of this.returns.filter(({ at }) => at <= this.cluster.now)) {
        this.returns.splice(this.returns.indexOf(due), 1);
        this.send(due.fingerprint, true);
      }
      this.cluster.advance(20);
    }
    this.nextAt = Math.max(this.nextAt, this.cluster.now);
  }

  private send(fingerprint: string, isReturn: boolean): void {
    const { ids, now } = this.cluster;
    const host = ids[this.options.chooseHost(this.random, ids.length)] ?? '';
    // A request may fail before its id is returned, so its id is known beforehand.
    this.requests.set(`${host}/${this.cluster.nextRequestId}`, {
      fingerprint,
      arrivedAt: now,
      isReturn,
    });
    this.cluster.request(host, fingerprint, this.options.traits);
  }
}

/** Returns the attempts that reached an endpoint from `from` to `until`. */
export function getArrivals(
  { sent }: GatewayCluster,
  endpoint: string,
  from = -Infinity,
  until = Infinity,
): SentAttempt[] {
  return sent.filter((send) => send.endpoint === endpoint && send.at >= from && send.at < until);
}

/**
 * Returns the largest excess of requests in a window over what an endpoint allows, from hosts that its
 * present start had told of its limit; 0 or less if the limit is kept.
 */
export function getLargestExcess(cluster: GatewayCluster, endpoint: string): number {
  const perS = cluster.namedLimits.get(endpoint) ?? Infinity;
  const counted = getArrivals(cluster, endpoint).filter(
    ({ at, toldAt }) => toldAt + TOLD_AFTER_MS <= at,
  );
  const allowed = (EXCESS_RATIO * perS * WINDOW_MS) / 1_000 + EXCESS_SLACK;
  const counts = counted
    .filter(({ at, namedAt }) => at >= namedAt + STABLE_MS)
    .map((last) => counted.filter(({ at }) => at > last.at - WINDOW_MS && at <= last.at).length);
  return Math.max(0, ...counts) - allowed;
}
