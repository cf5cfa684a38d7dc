import { Actions } from '../actions/types.ts';
import { MinHeap } from '../base/minHeap.ts';
import { Random } from '../base/random.ts';
import { ConfigurationSync } from '../configuration/configurationSync.ts';
import { Configuration } from '../configuration/types.ts';
import { Directory } from '../directory/types.ts';
import { Drafts } from '../drafts/types.ts';
import { Engines } from '../engines/types.ts';
import { Fleet } from '../fleet/types.ts';
import { Forwards } from '../forwards/types.ts';
import { Grants } from '../grants/types.ts';
import { Membership } from '../membership/types.ts';
import { Operators } from '../operators/types.ts';
import { Ownership } from '../ownership/types.ts';
import { Owners } from '../owners/types.ts';
import { Requests } from '../requests/types.ts';
import { Residency } from '../residency/types.ts';
import type { RouteIndex as Routes } from '../routes/types.ts';
import { Routing } from '../routing/types.ts';
import { Suspects } from '../suspects/types.ts';
import type { Phase } from './lifecycle.ts';
import type { Timer } from './timers.ts';

/** Who this host is; from its settings. */
export interface HostIdentity {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** `host:port` of the peer listener. */
  readonly address: string;
  /** Grows with each start of the host. */
  readonly incarnation: number;
}

/** Limit on repeated sends to one service, over all hosts and a sliding window. */
export interface RetryPolicy {
  /** Repeated sends for each request. */
  readonly ratio: number;
  /** Repeated sends that are allowed in any window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Settings of a host that forwards requests by a directory. */
export interface DirectoryPolicy {
  /** Repeated sends that all hosts may make together to one service. */
  readonly retries: RetryPolicy;
}

/** Settings that decisions depend on. */
export interface Policy {
  /** 0 weighs batch efficiency only, 1 load stalls only. */
  readonly stallWeight: number;
  /** Adapter loads a second that the weight store allows for the whole deployment. */
  readonly loadsPerS: number;
  /** Requests in flight that one caller may have on this host. */
  readonly maxRequestsPerCaller: number;
  /** Requests in flight that this host takes. */
  readonly maxRequests: number;
  /** Time for which a stopping host still takes new requests, in ms. */
  readonly lameDuckMs: number;
  /** Whether this is the only host and no table is used; it then owns every engine. */
  readonly isStandalone?: boolean;
  /** Set when routes, endpoints and members come from a directory; requests are then forwarded. */
  readonly directory?: DirectoryPolicy;
}

/** A host that is known from the settings. */
export interface Seed {
  readonly host: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
}

/** Options of the state of a host. */
export interface StateOptions {
  host: HostIdentity;
  policy: Policy;
  randomSeed: number;
  /** Hosts to contact first, beside those of the host list. */
  seeds?: readonly Seed[];
}

/** The whole state of a host. Only `reduce` changes it. */
export class State {
  phase: Phase = 'running';
  /** Monotonic ms of the event that is handled. */
  now = 0;
  readonly random: Random;
  readonly timers = MinHeap.create<Timer>();
  readonly configuration = Configuration.create();
  readonly configurationSync = ConfigurationSync.create();
  readonly membership = Membership.create();
  readonly ownership = Ownership.create();
  readonly engines = Engines.create();
  readonly grants = Grants.create();
  readonly routing = Routing.create();
  readonly requests = Requests.create();
  readonly suspects = Suspects.create();
  readonly actions = Actions.create();
  readonly drafts = Drafts.create();
  readonly operators = Operators.create();
  readonly directory = Directory.create();
  readonly routeIndex: { current: Routes | undefined } = { current: undefined };
  readonly fleet = Fleet.create();
  readonly owners = Owners.create();
  readonly residency = Residency.create();
  readonly forwards = Forwards.create();

  private constructor(
    readonly host: HostIdentity,
    /** Replaced as a whole when settings change. */
    public policy: Policy,
    seed: number,
    readonly seeds: readonly Seed[],
  ) {
    this.random = Random.create(seed);
  }

  static create({ host, policy, randomSeed: seed, seeds = [] }: StateOptions): State {
    return new State(host, policy, seed, seeds);
  }
}
