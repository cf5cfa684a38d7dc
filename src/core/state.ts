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
import { Limits } from '../limits/types.ts';
import { Membership } from '../membership/types.ts';
import { Notices } from '../notices/types.ts';
import { Operators } from '../operators/types.ts';
import { Ownership } from '../ownership/types.ts';
import { Owners } from '../owners/types.ts';
import { Paths } from '../paths/types.ts';
import { Quotas } from '../quotas/types.ts';
import { Requests } from '../requests/types.ts';
import { Residency } from '../residency/types.ts';
import type { RouteIndex } from '../routes/types.ts';
import { Routing } from '../routing/types.ts';
import { Streams } from '../streams/types.ts';
import { Suspects } from '../suspects/types.ts';
import type { Phase } from './lifecycle.ts';
import type { Timer } from './timers.ts';

/** Identity of this host, from its settings. */
export interface HostIdentity {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** `host:port` of the peer listener. */
  readonly address: string;
  /** Increases with each start of the host. */
  readonly incarnation: number;
  /** Processor capacity relative to other hosts; undefined if the settings do not state it. */
  readonly capacity?: number | undefined;
}

/** Limit on retries to one service, shared by all hosts, over a sliding window. */
export interface RetryPolicy {
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries allowed in each window in addition, whatever the number of requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Settings of a host that forwards requests to the endpoints of a directory. */
export interface DirectoryPolicy {
  /** Limit on the retries of all hosts together to one service. */
  readonly retries: RetryPolicy;
  /** Time after a request to stop at which requests in flight get their final answers. */
  readonly stopMs: number;
  /**
   * Longest time for which the keys of callers hold without proof that none was removed, in ms; undefined if
   * they hold until this host learns otherwise.
   */
  readonly maxKeyAgeMs?: number | undefined;
}

/** Settings that the reducer uses. */
export interface Policy {
  /** Weight of load stalls against batch efficiency: 0 counts only efficiency, 1 only stalls. */
  readonly stallWeight: number;
  /** Adapter loads per second that the weight store allows for the whole deployment. */
  readonly loadsPerS: number;
  /** Limit on the requests of one caller in flight on this host. */
  readonly maxRequestsPerCaller: number;
  /** Limit on all requests in flight on this host. */
  readonly maxRequests: number;
  /** Time for which a host that shuts down still takes new requests. */
  readonly lameDuckMs: number;
  /** Whether this is the only host and uses no table; it then owns every engine. */
  readonly isStandalone?: boolean;
  /** Present if routes, endpoints and members come from a directory and requests are forwarded. */
  readonly directory?: DirectoryPolicy;
}

/** A host whose address is in the settings. */
export interface Seed {
  readonly host: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
}

/** Options of `State.create`. */
export interface StateOptions {
  host: HostIdentity;
  policy: Policy;
  randomSeed: number;
  /** Hosts to contact at the start, in addition to those of the host list. */
  seeds?: readonly Seed[];
}

/** State of a host; only `reduce` changes it. */
export class State {
  phase: Phase = 'running';
  /** Monotonic ms of the current event. */
  now = 0;
  /** Monotonic ms at which a host that forwards requests ends them; undefined until it stops. */
  stopAt: number | undefined;
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
  readonly routeIndex: { current: RouteIndex | undefined } = { current: undefined };
  readonly fleet = Fleet.create();
  readonly owners = Owners.create();
  readonly residency = Residency.create();
  readonly forwards = Forwards.create();
  readonly streams = Streams.create();
  readonly limits = Limits.create();
  readonly quotas = Quotas.create();
  readonly notices = Notices.create();
  readonly paths = Paths.create();

  private constructor(
    readonly host: HostIdentity,
    /** Replaced, never changed in place, when settings are reloaded. */
    public policy: Policy,
    randomSeed: number,
    readonly seeds: readonly Seed[],
  ) {
    this.random = Random.create(randomSeed);
  }

  static create({ host, policy, randomSeed, seeds = [] }: StateOptions): State {
    return new State(host, policy, randomSeed, seeds);
  }
}
