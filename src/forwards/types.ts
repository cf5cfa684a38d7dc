import type { RoutingKnowledge } from '../directory/routingKnowledge.ts';
import type { Failure } from '../errors/failure.ts';
import { Popularity } from '../grants/popularity.ts';
import type { ConnectionProblem, Relay } from '../paths/types.ts';
import type { Route } from '../routes/types.ts';
import type { Attribute } from '../suspects/attributes.ts';
import type { SentAttribute } from '../suspects/types.ts';
import { SharedRetryBudget } from './sharedRetryBudget.ts';
import { PLACEMENT_POPULARITY_HALF_LIFE_MS } from './constants.ts';
import type { StreamOrigin } from './streamOrigin.ts';
import { RouteDurations } from './routeDurations.ts';

/** Metadata that the caller provides with a request, beside its method, path and body. */
export interface RequestLabels {
  /** Id of the caller's attempt, for logs and the endpoint; empty when the caller sends none. */
  attemptId: string;
  /** `model` or `model/adapter`; empty when the request names no model. */
  model: string;
  /** `model/adapter`; empty for requests to the base model alone and for plain requests. */
  adapter: string;
  promptTokens: number;
  /** Maximum number of tokens in the response. */
  outputTokens: number;
  /** Ids of the prompt parts that requests share, in order; empty when the request names none. */
  promptParts: readonly string[];
  /**
   * Attempt that the caller names as the one that brought the first event of the stream that the request
   * resumes; as the caller sent it. Absent if the request resumes no stream.
   */
  resumedAttempt?: string;
  /** Whether the caller names the last event that it received of a stream. */
  hasLastEventId?: boolean;
  /** Time that the caller waits, in ms; Infinity when the caller gives no limit. */
  waitMs: number;
  /** Whether the caller names the tokens of the request. */
  hasTokenCount?: boolean;
  /** Digest of the caller's key; absent if the request carries none, or more than one. */
  keyDigest?: string | undefined;
}

/** A request as the front server passes it to the reducer. */
export interface NewForward {
  id: string;
  host: string;
  /** Path and query. */
  target: string;
  labels: RequestLabels;
  /** IP address of the caller's connection. */
  caller: string;
  /** Hash of method, target, adapter and body; equal for retries of the same request. */
  fingerprint: string;
  /** Monotonic ms at which its headers were read. */
  arrivedAt: number;
  /** Longest time in ms for which its headers may have waited before this host read them. */
  readDelayMs: number;
}

/**
 * `awaitingQuota`: asked the accountant of its tenant; `awaitingStreamRecord`: asked other hosts where the stream
 * began that it resumes; `awaitingOwner`: requested a reservation; `running`: sent to an endpoint; `backoff`: waits for a retry.
 */
export type ForwardPhase =
  'awaitingQuota' | 'awaitingStreamRecord' | 'awaitingOwner' | 'running' | 'backoff';

/** One send of a request to an endpoint. */
export interface ForwardAttempt {
  id: string;
  endpoint: string;
  /** Unix ms of the start of the endpoint, as it was known when the attempt was sent. */
  endpointStartedAt: number;
  /** Host that granted the reservation; undefined when the attempt was sent unreserved. */
  owner: string | undefined;
  /** Host that relays it; undefined for a direct connection. */
  relay: string | undefined;
  startedAt: number;
  /** Software version of the endpoint as it was known when the attempt was sent. */
  softwareVersion: string | undefined;
  /** Attributes of the request, as they were known when the attempt was sent. */
  sent: readonly SentAttribute[];
}

/** An attempt that broke or was cancelled without an answer; `at` is monotonic ms. */
export interface UnansweredAttempt {
  endpoint: string;
  fingerprint: string;
  sent: readonly SentAttribute[];
  /** Id of the crash in the record of the request. */
  crash: string;
  endpointStartedAt: number;
  /** Whether its connection broke; otherwise this host cancelled it. */
  isBroken: boolean;
  at: number;
}

/** A request in flight that this host forwards to an endpoint. */
export interface Forward extends NewForward {
  route: Route;
  /** What this host knew of the routing table when it chose the route, for logs. */
  routing: RoutingKnowledge;
  service: string;
  /** Tenant that holds the caller's key; undefined on a public route and without tenants. */
  tenant: string | undefined;
  /** Units that it was counted against the quota of its tenant. */
  quotaCost: number;
  /** What may crash the endpoints that run it. */
  attributes: readonly Attribute[];
  /** Whether it runs although an attribute is quarantined, to find out whether it still crashes. */
  isTrial: boolean;
  /** Monotonic ms by which the response must be complete, and by which it should start. */
  deadlineAt: number;
  goalAt: number;
  phase: ForwardPhase;
  /**
   * Increases with each reservation request and each backoff; replies to earlier reservation requests
   * are ignored.
   */
  reservationRequestNumber: number;
  /** Reservation that was requested and not granted yet. */
  pendingReservation: { engine: string; owner: string; isQueued: boolean } | undefined;
  attempt: ForwardAttempt | undefined;
  /** Attempts that were sent so far. */
  sends: number;
  /** Endpoints on which the request ran or may have run. */
  ranOn: Set<string>;
  /** Endpoints that refused the request or failed to serve it. */
  excluded: Set<string>;
  /** Endpoints that answered that they did not run it. */
  refusedBy: Set<string>;
  /** Whether the request may have run and must not run again. */
  mayHaveRun: boolean;
  /** Whether bytes of a response were passed on to the caller. */
  hasResponseStarted: boolean;
  /** Whether the error response of an endpoint is kept, to be passed on if no retry succeeds. */
  hasFailedResponse: boolean;
  /** Where the stream began that the request resumes or whose first event was passed on. */
  origin: StreamOrigin | undefined;
  /** How often the path to an endpoint changed under an attempt. */
  pathChanges: number;
  /** Backoffs so far. */
  backoffs: number;
  /** Time after which its caller should return, from the endpoints whose limits it met, in ms. */
  returnMs: number | undefined;
  /** Id of the last stream event that was passed on. */
  lastEventId: string | undefined;
  /** Software version of the endpoint of the last attempt, for logs. */
  lastSoftwareVersion: string | undefined;
  /** End of the last response, for logs. */
  bodyEnd: BodyEnd | undefined;
  /** Why the last endpoint or owner did not serve the request. */
  lastReason: string;
  /** Monotonic ms of the first send, and of the first byte that was passed on. */
  sentAt: number | undefined;
  firstByteAt: number | undefined;
  /** Longest pause between two events of the stream, in ms. */
  longestPauseMs: number | undefined;
  /** Total time between reservation requests and their grants at the owners, in ms. */
  stallMs: number;
}

/** What is known of the body of a response when it ends; for logs. */
export interface BodyEnd {
  /** How the end of the body is marked. */
  framing: 'none' | 'length' | 'chunked' | 'connectionClose';
  /** Bytes after the last complete event of a stream; undefined for other responses. */
  bytesAfterLastEvent: number | undefined;
}

export type ForwardOutcome =
  /** The whole stream was passed on. */
  | { type: 'passed'; longestPauseMs: number; bodyEnd?: BodyEnd }
  /** The whole response arrived and is not passed on yet. */
  | { type: 'answered'; status: number; bodyEnd?: BodyEnd }
  /**
   * The endpoint answered that it did not run the request; `otherEndpoint` if another endpoint now
   * answers at its address.
   */
  | { type: 'notRun'; reason: 'full' | 'adapterMissing' | 'otherEndpoint' }
  /** No connection was opened, or nothing was written to it. */
  | { type: 'unreachable'; reason: string; problem?: ConnectionProblem }
  /** The request was sent and no complete, valid response arrived. */
  | {
      type: 'broken';
      reason: string;
      lastEventId: string | undefined;
      bodyEnd?: BodyEnd;
      problem?: ConnectionProblem;
    }
  /** It was not sent, since nobody waits for the answer any more; its request ends in a moment. */
  | { type: 'unsent' }
  | { type: 'cancelled' };

/** Start of an endpoint, in Unix ms, and monotonic ms at which it refused a connection. */
interface CrashedEndpoint {
  startedAt: number;
  at: number;
}

/** State of the requests that this host forwards. */
export class Forwards {
  /** Requests in flight by id. */
  readonly inFlight = new Map<string, Forward>();
  /** Retry budgets by service. */
  readonly retryBudgets = new Map<string, SharedRetryBudget>();
  /** Recently unanswered attempts by endpoint, in case the endpoint turns out to have crashed. */
  readonly unansweredAttempts = new Map<string, UnansweredAttempt[]>();
  /** Endpoints of which a check is in flight. */
  readonly checkedEndpoints = new Set<string>();
  /** Endpoints that refused a connection after attempts at them broke. */
  readonly crashedEndpoints = new Map<string, CrashedEndpoint>();
  /** Decayed counts of this host's requests by adapter and by base model. */
  readonly popularity = Popularity.create(PLACEMENT_POPULARITY_HALF_LIFE_MS);
  readonly durations = RouteDurations.create();

  private constructor() {}

  static create(): Forwards {
    return new Forwards();
  }
}

/** Event: the check of an endpoint that started at `startedAt` has ended. */
export interface EndpointCheck {
  type: 'endpointChecked';
  endpoint: string;
  startedAt: number;
  /** Host that opened the connection; absent for this host. */
  relay?: string;
  /** Whether it refused the connection. */
  isRefused: boolean;
  /** Whether the connection was opened. */
  isRunning?: boolean;
}

export type ForwardEvent =
  | { type: 'forwardArrived'; forward: NewForward }
  /** The caller closed its connection. */
  | { type: 'forwardCancelled'; id: string }
  /** The first byte of a response was passed on. */
  | { type: 'forwardStarted'; id: string; attempt: string }
  | { type: 'forwardEnded'; id: string; attempt: string; outcome: ForwardOutcome }
  | EndpointCheck;

/** One attempt that the host has to send to an endpoint. */
export interface AttemptSpec {
  id: string;
  attempt: string;
  endpoint: string;
  address: string;
  /** Host through which it is sent; undefined for a direct connection. */
  relay: Relay | undefined;
  /**
   * Whether it needs a connection of its own: the endpoint has refused the request before and may send that
   * answer again, which could not be told from a new one.
   */
  hasOwnConnection: boolean;
  /** Unix ms of the start of the endpoint, and monotonic ms of this send. */
  endpointStartedAt: number;
  sentAt: number;
  isStream: boolean;
  /** Monotonic ms by which the response must be complete. */
  deadlineAt: number;
  priority: number | undefined;
  /** Version of the adapter that the endpoint must hold. */
  version: number | undefined;
  /** Id of the event after which the stream resumes. */
  resumeAfter: string | undefined;
  /** Tenant as the endpoint learns it; empty on a public route, undefined without tenants. */
  tenant: string | undefined;
}

export type ForwardEffect =
  /** Stops accepting connections and closes idle ones. */
  | { type: 'closeFrontServer' }
  | { type: 'sendForward'; spec: AttemptSpec }
  | { type: 'cancelForward'; id: string; attempt: string }
  /** Passes on the whole response of the last attempt. */
  | { type: 'passResponse'; id: string }
  /** Ends the response after the last event of the stream. */
  | { type: 'endResponse'; id: string }
  /** Opens a connection to an endpoint and closes it; the result arrives as `endpointChecked`. */
  | {
      type: 'checkEndpoint';
      endpoint: string;
      address: string;
      /** Host that opens the connection; undefined for this host. */
      relay: Relay | undefined;
      startedAt: number;
    }
  /** Answers with a failure, or aborts the response if it has started. */
  | { type: 'failForward'; id: string; failure: Failure };

/** Checks whether the endpoint of a broken attempt crashed. */
export interface CrashVerification {
  type: 'verifyCrash';
  fingerprint: string;
  /** Id of the crash in the suspect's record. */
  crash: string;
  endpoint: string;
  endpointStartedAt: number;
}

export type ForwardTimer =
  | { type: 'forwardDeadline'; id: string }
  /** Abandons the request if it was not sent yet. */
  | { type: 'placementTimeout'; id: string }
  | { type: 'forwardRetry'; id: string }
  /** Ends all requests in flight, since the host has to stop. */
  | { type: 'stopDeadline' }
  /** Ends requests in flight whose attributes are quarantined. */
  | { type: 'endQuarantinedForwards' }
  | CrashVerification
  /** The owner did not react to the reservation request. */
  | { type: 'reservationTimeout'; id: string; reservationRequestNumber: number };
