import { Random } from '../../src/base/random.ts';
import { GatewayCluster, type RequestTraits } from './gatewayCluster.ts';

/** A request as the traffic draws it. */
export interface DrawnRequest extends RequestTraits {
  fingerprint: string;
  isPoisonPill: boolean;
  arrivedAt: number;
}

/** Time between two requests, in ms. */
const INTERVAL_MS = 40;
const TENANTS = 3;
const TOPICS = 20;
const ADAPTERS = 60;
const CALLERS = 12;

/** Random requests to a cluster, of which a share are poison pills; no two of them are alike. */
export class PromptTraffic {
  readonly drawn: DrawnRequest[] = [];
  private readonly random: Random;

  private constructor(
    private readonly cluster: GatewayCluster,
    private readonly options: {
      seed: number;
      share: number;
      poison: (traits: RequestTraits) => void;
    },
  ) {
    this.random = Random.create(options.seed);
  }

  /** `poison` changes the traits of a request so that it crashes endpoints. */
  static create(
    cluster: GatewayCluster,
    options: { seed: number; share: number; poison: (traits: RequestTraits) => void },
  ): PromptTraffic {
    return new PromptTraffic(cluster, options);
  }

  /** Sends requests to random hosts for `ms`. */
  run(ms: number, { hasPoisonPills = true } = {}): void {
    const until = this.cluster.now + ms;
    while (this.cluster.now < until) {
      this.sendRequest(hasPoisonPills && this.random.getFraction() < this.options.share);
      this.cluster.advance(INTERVAL_MS);
    }
  }

  private sendRequest(isPoisonPill: boolean): void {
    const fingerprint = `r${this.drawn.length}`;
    const traits = this.newTraits();
    if (isPoisonPill) this.options.poison(traits);
    this.drawn.push({ ...traits, fingerprint, isPoisonPill, arrivedAt: this.cluster.now });
    const { ids } = this.cluster;
    this.cluster.request(ids[this.random.getInteger(ids.length)] ?? '', fingerprint, traits);
  }

  private newTraits(): RequestTraits {
    // Small numbers are drawn far more often than large ones.
    const draw = (below: number): number => Math.floor(below * this.random.getFraction() ** 3);
    const tenant = draw(TENANTS);
    const adapter = `base/a${draw(ADAPTERS)}`;
    return {
      caller: `10.9.0.${this.random.getInteger(CALLERS)}`,
      labels: {
        model: adapter,
        adapter,
        promptParts: [`tenant${tenant}`, `topic${tenant}-${draw(TOPICS)}`],
      },
    };
  }
}
