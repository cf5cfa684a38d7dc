import { type buildConnector, Client, type Dispatcher, Pool } from 'undici';
import type { CallerMemory } from '../http/callerMemory.ts';
import { confirmCloseDelimited } from '../clients/closeDelimited.ts';
import { isServerRunning } from '../clients/connectionCheck.ts';
import { handOverInTurns, newTrackedConnector, SocketEndTracker } from '../clients/connector.ts';
import { limitInterimResponses } from '../clients/interimResponses.ts';
import type { ReadTurns } from '../eventLoop/readTurns.ts';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import type { AttemptSpec, ForwardOutcome } from '../forwards/types.ts';
import type { EndpointNotice } from '../notices/types.ts';
import { isRunningBehindRelay, type RelayTarget } from '../relays/relayClient.ts';
import { newRelayedConnector } from '../relays/relayedConnector.ts';
import {
  ENDPOINT_CONNECT_TIMEOUT_MS,
  ENDPOINT_KEEP_ALIVE_MS,
  KEEP_ALIVE_MARGIN_MS,
} from './constants.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import { ForwardResponseHandler } from './forwardResponseHandler.ts';
import type { HealthCheck, LabelPort } from './platform.ts';

/** An attempt in flight. */
export interface RunningForwardAttempt {
  /** Whether the outcome was reported. */
  readonly hasEnded: boolean;
  cancel(): void;
  /** Ends it as broken if nothing has arrived for `silentMs`. */
  breakIfSilent(silentMs: number): void;
}

/** Callbacks for the progress of an attempt. */
export interface ForwardAttemptListener {
  /** Whether the attempt may still be sent; asked when it has a connection. */
  isStillWanted: () => boolean;
  /** Whether its caller has left, or its deadline has passed; asked when it has a connection. */
  isTooLate: () => boolean;
  /** Called when bytes of an answer arrive. */
  onReceived: () => void;
  /** Called when the answer is not read for a time, as its caller does not take what was passed on. */
  onReadingPaused: () => void;
  onReadingResumed: () => void;
  /** Called with what the head of a valid response says of the endpoint. */
  onNoticeRead: (notice: EndpointNotice) => void;
  /** Called when the first event of a stream is passed on. */
  onResponseStarted: () => void;
  /** Called exactly once; `hasReceived` tells whether a byte of an answer arrived. */
  onEnded: (outcome: ForwardOutcome, hasReceived: boolean) => void;
}

/** Pooled connections to one endpoint over one path, and the dispatcher that confirms their responses. */
interface EndpointPool {
  endpoint: string;
  /** Host that relays the connections; undefined for direct ones. */
  relay: string | undefined;
  pool: Pool;
  dispatcher: Dispatcher;
}

/** How an endpoint is reached. */
export type EndpointPath = Pick<AttemptSpec, 'endpoint' | 'address' | 'relay'>;

/** Sends requests to endpoints over pooled connections. */
export class EndpointClient {
  private readonly pools = new Map<string, EndpointPool>();
  private readonly endTracker = SocketEndTracker.create();

  private constructor(
    private readonly labels: LabelPort,
    private readonly host: string,
    private readonly localAddress: string | undefined,
    private readonly maxConnections: (endpoint: string) => number,
    private readonly memory: Pick<CallerMemory, 'budget' | 'garbage'>,
    private readonly turns: TurnQueue,
    private readonly readTurns: ReadTurns,
  ) {}

  static create(options: {
    labels: LabelPort;
    /** Id of this host. */
    host: string;
    /** Local IP address of the connections. */
    localAddress: string | undefined;
    /** Returns the maximum number of connections to an endpoint. */
    maxConnections: (endpoint: string) => number;
    /** Bytes of all requests and responses of the host. */
    memory: Pick<CallerMemory, 'budget' | 'garbage'>;
    /** Turns in which requests are written to new connections. */
    turns: TurnQueue;
    /** Turns in which responses are read that arrive without a pause. */
    readTurns: ReadTurns;
  }): EndpointClient {
    const { labels, host, localAddress, maxConnections, memory, turns, readTurns } = options;
    return new EndpointClient(labels, host, localAddress, maxConnections, memory, turns, readTurns);
  }

  /** Sends a request once. */
  sendAttempt(
    spec: AttemptSpec,
    exchange: ForwardExchange,
    listener: ForwardAttemptListener,
  ): RunningForwardAttempt {
    const { endpoint, deadlineAt, priority, version, resumeAfter, tenant } = spec;
    const remainingMs = Math.max(1, Math.floor(deadlineAt - performance.now()));
    const headers = this.labels.getForwardHeaders(exchange.headers, {
      endpoint,
      remainingMs,
      priority,
      version,
      resumeAfter,
      tenant,
    });
    const pool = spec.hasOwnConnection ? this.newPool(spec, 1) : this.getPool(spec);
    const handler = ForwardResponseHandler.create({
      spec,
      exchange,
      labels: this.labels,
      budget: this.memory.budget,
      garbage: this.memory.garbage,
      readTurns: this.readTurns,
      listener,
      onUnresponsive: () => this.retirePool(pool),
    });
    const hasBody = exchange.body.length > 0;
    try {
      pool.dispatcher.dispatch(
        {
          path: exchange.target,
          method: exchange.method,
          headers,
          body: hasBody ? exchange.body : null,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        handler,
      );
    } catch (error) {
      handler.failUnsent(error instanceof Error ? error.message : String(error));
    }
    // Closes the connection once the request has ended.
    if (spec.hasOwnConnection) pool.pool.close().catch(() => undefined);
    return handler;
  }

  /** Whether an endpoint answers a health check over a new connection, whatever it says. Never rejects. */
  async probe(path: EndpointPath, check: HealthCheck, timeoutMs: number): Promise<boolean> {
    const { localAddress } = this;
    const connect = this.newConnector(this.getRelayTarget(path));
    const client = new Client(`http://${path.address}`, { localAddress, connect });
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      await client.request({ ...check, method: 'GET', signal });
      return true;
    } catch {
      return false;
    } finally {
      client.destroy().catch(() => undefined);
    }
  }

  /** Closes the connections to all endpoints that are not known. */
  retainKnownEndpoints(isKnown: (endpoint: string) => boolean): void {
    for (const pool of this.pools.values()) if (!isKnown(pool.endpoint)) this.retirePool(pool);
  }

  /** Closes the connections to an endpoint, or over a relay, or both, once their requests have ended. */
  retireConnections({ endpoint, relay }: { endpoint?: string; relay?: string }): void {
    for (const pool of this.pools.values()) {
      const isOfEndpoint = endpoint === undefined || pool.endpoint === endpoint;
      const isOverRelay = relay === undefined || pool.relay === relay;
      if (isOfEndpoint && isOverRelay) this.retirePool(pool);
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  /** Stops reusing the connections of `pool`; requests in flight on them continue. */
  private retirePool(retired: EndpointPool): void {
    const key = getPoolKey(retired.endpoint, retired.relay);
    if (this.pools.get(key) !== retired) return;
    this.pools.delete(key);
    retired.pool.close().catch(() => undefined);
  }

  private getPool({ endpoint, address, relay }: EndpointPath): EndpointPool {
    const key = getPoolKey(endpoint, relay?.host);
    const known = this.pools.get(key);
    if (known !== undefined) return known;
    const created = this.newPool({ endpoint, address, relay }, this.maxConnections(endpoint));
    this.pools.set(key, created);
    return created;
  }

  private newPool({ endpoint, address, relay }: EndpointPath, connections: number): EndpointPool {
    const { localAddress, endTracker } = this;
    const target = this.getRelayTarget({ endpoint, address, relay });
    const pool = new Pool(`http://${address}`, {
      connections,
      localAddress,
      pipelining: 1,
      keepAliveTimeout: ENDPOINT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: ENDPOINT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: this.newConnector(target),
    });
    const confirm = confirmCloseDelimited({
      isServerRunning: () =>
        target === undefined
          ? isServerRunning(address, localAddress)
          : isRunningBehindRelay(target),
      endTracker,
    });
    const dispatcher = pool.compose(limitInterimResponses, confirm);
    return { endpoint, relay: relay?.host, pool, dispatcher };
  }

  private getRelayTarget({ endpoint, relay }: EndpointPath): RelayTarget | undefined {
    const { host, localAddress } = this;
    return relay === undefined ? undefined : { relay, endpoint, host, localAddress };
  }

  private newConnector(target: RelayTarget | undefined): buildConnector.connector {
    const connect =
      target === undefined
        ? newTrackedConnector(ENDPOINT_CONNECT_TIMEOUT_MS, this.endTracker)
        : newRelayedConnector(target, this.endTracker);
    return handOverInTurns(connect, this.turns);
  }
}

function getPoolKey(endpoint: string, relay = ''): string {
  return `${endpoint} ${relay}`;
}
