/** A host that passes bytes on between this host and an endpoint. */
export interface Relay {
  host: string;
  /** `IP:PORT` of its peer listener. */
  address: string;
}

/** Why a connection to an endpoint could not be used. */
export type ConnectionProblem =
  /** It could not be opened, by this host or by the relay. */
  | 'unanswered'
  /** The endpoint refused it to the relay, which reaches the endpoint's host. */
  | 'refusedToRelay'
  /** The relay could not be reached. */
  | 'relay'
  /** The relay can't reach the endpoint either, or takes no more connections. */
  | 'declined'
  /** It broke before a byte of an answer arrived. */
  | 'lost'
  /** It was closed because nothing arrived over its path. */
  | 'silent';

/** An endpoint that this host can't reach directly. Times are monotonic ms. */
export interface LostPath {
  /** Unix ms of the start of the endpoint. */
  startedAt: number;
  probedAt: number;
  /** Start of the last check of the open order connection; the loss of the path where none was made. */
  orderCheckedAt: number;
  /** Whether that check was answered, so that the owner of the engine can still order it. */
  canOrder: boolean;
  /** Whether another host is known to reach the endpoint. */
  isReachedByOthers: boolean;
  /** Hosts that were asked for that since the last probe. */
  hostsAsked: number;
}

/** Why an endpoint is probed. */
export type ProbeReason = 'silence' | 'failure' | 'lost';

/** This host's paths to endpoints: those that it can't reach directly, and the relays that failed. */
export class Paths {
  /** Endpoints that this host can't reach directly. */
  readonly lost = new Map<string, LostPath>();
  /** Monotonic ms at which the direct paths to endpoints came back. */
  readonly restoredAt = new Map<string, number>();
  /** Monotonic ms until which a relay is avoided, by host, or by host and endpoint. */
  readonly avoidedRelays = new Map<string, number>();
  /** Monotonic ms at which hosts last declined to relay, by host. */
  readonly declinedAt = new Map<string, number>();
  /** The probe in flight; at most one is. */
  probe: { endpoint: string; reason: ProbeReason; relay: string | undefined } | undefined;
  isProbeScheduled = false;
  /** The last endpoint that became unreachable, and monotonic ms. */
  lastFailure: { endpoint: string; at: number } | undefined;
  /** Monotonic ms of the last answer that arrived directly. */
  lastDirectAnswerAt = -Infinity;
  /** Monotonic ms at which a probe confirmed that this host reaches no endpoint directly, while that holds. */
  cutOffSince: number | undefined;
  cutOffEndedAt = -Infinity;

  private constructor() {}

  static create(): Paths {
    return new Paths();
  }
}

/** Event: no endpoint sent anything to this host over a path for a time, while attempts wait for answers. */
export interface PathSilence {
  type: 'pathSilent';
  /** Host that relays; undefined for direct connections. */
  relay: string | undefined;
  /** Time since the last byte, or since the first attempt after it was sent, in ms. */
  silentMs: number;
}

/** Event: an endpoint answered a probe, or did not in time. */
export interface ProbeEnd {
  type: 'endpointProbed';
  endpoint: string;
  isAnswered: boolean;
}

/** Event: an engine answered a check of its order connection, or did not in time. */
export interface OrderCheckEnd {
  type: 'orderConnectionChecked';
  engine: string;
  /** Monotonic ms of the start of the check. */
  checkedAt: number;
  isAnswered: boolean;
}

export type PathEvent = PathSilence | ProbeEnd | OrderCheckEnd;

export type PathEffect =
  /** Sends a health check over a connection of its own; the result arrives as `endpointProbed`. */
  | {
      type: 'probeEndpoint';
      endpoint: string;
      address: string;
      /** Host through which it is sent; undefined for a direct connection. */
      relay: Relay | undefined;
      timeoutMs: number;
    }
  /** Calls an engine over the connection of orders to it; the result arrives as `orderConnectionChecked`. */
  | {
      type: 'checkOrderConnection';
      engine: string;
      address: string;
      checkedAt: number;
      timeoutMs: number;
    }
  /** Closes the connections to an endpoint, or over a relay, once their requests have ended. */
  | { type: 'retireConnections'; endpoint?: string; relay?: string }
  /** Breaks an attempt off that has received nothing for `silentMs`; it ends as broken. */
  | { type: 'breakSilentAttempt'; attempt: string; silentMs: number };

export interface PathTimer {
  type: 'probePaths';
}
