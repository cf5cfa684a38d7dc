import { Pool } from 'undici';
import type { AttemptSpec, ForwardOutcome } from '../forwards/types.ts';
import { SocketEndTracker, newTrackedConnector } from './connector.ts';
import { ENDPOINT_KEEP_ALIVE_MS, KEEP_ALIVE_MARGIN_MS } from './constants.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import { ForwardResponseHandler } from './forwardResponseHandler.ts';
import type { LabelPort } from './platform.ts';

/** One send that the relay has under way. */
export interface RunningForwardAttempt {
  /** Whether its outcome was told. */
  readonly hasEnded: boolean;
  cancel(): void;
}

/** What the relay tells of a send. */
export interface ForwardAttemptListener {
  /** The first byte of the answer was passed on. */
  onResponseStarted: () => void;
  /** Called once. */
  onEnded: (outcome: ForwardOutcome) => void;
}

/** Sends requests to endpoints over kept connections and passes their answers on. */
export class EndpointClient {
  private readonly pools = new Map<string, Pool>();
  private readonly ends = SocketEndTracker.create();

  private constructor(
    private readonly labels: LabelPort,
    private readonly localAddress: string | undefined,
    private readonly maxConnections: (endpoint: string) => number,
  ) {}

  static create(options: {
    labels: LabelPort;
    /** IP number that connections are opened from. */
    localAddress: string | undefined;
    /** Returns how many connections this host may open to an endpoint. */
    maxConnections: (endpoint: string) => number;
  }): EndpointClient {
    return new EndpointClient(options.labels, options.localAddress, options.maxConnections);
  }

  /** Sends a request once. */
  sendAttempt(
    order: AttemptSpec,
    exchange: ForwardExchange,
    events: ForwardAttemptListener,
  ): RunningForwardAttempt {
    const { endpoint, address, deadlineAt, priority, version, resumeAfter } = order;
    const remainingMs = Math.max(1, Math.floor(deadlineAt - performance.now()));
    const headers = this.labels.getForwardHeaders(exchange.headers, {
      endpoint,
      remainingMs,
      priority,
      version,
      resumeAfter,
    });
    const pool = this.getPool(endpoint, address);
    const answer = ForwardResponseHandler.create({
      order,
      exchange,
      labels: this.labels,
      events,
      ends: this.ends,
      onSilent: () => this.retire(endpoint, pool),
    });
    const hasBody = exchange.body.length > 0;
    try {
      pool.dispatch(
        {
          path: exchange.target,
          method: exchange.method,
          headers,
          body: hasBody ? exchange.body : null,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        answer,
      );
    } catch (error) {
      answer.failUnsent(error instanceof Error ? error.message : String(error));
    }
    return answer;
  }

  /** Closes the connections to endpoints that are not known any more. */
  retainKnownEndpoints(isKnown: (endpoint: string) => boolean): void {
    for (const [endpoint, pool] of this.pools) if (!isKnown(endpoint)) this.retire(endpoint, pool);
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** Opens new connections from now on; what runs on the old ones goes on. */
  private retire(endpoint: string, pool: Pool): void {
    if (this.pools.get(endpoint) !== pool) return;
    this.pools.delete(endpoint);
    pool.close().catch(() => undefined);
  }

  private getPool(endpoint: string, address: string): Pool {
    const known = this.pools.get(endpoint);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections: this.maxConnections(endpoint),
      pipelining: 1,
      keepAliveTimeout: ENDPOINT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: ENDPOINT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: newTrackedConnector(this.localAddress, this.ends),
    });
    this.pools.set(endpoint, pool);
    return pool;
  }
}
