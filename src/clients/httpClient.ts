import type { IncomingHttpHeaders } from 'node:http';
import { Agent, Client, type Dispatcher } from 'undici';
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECTIONS_PER_ADDRESS,
  KEEP_ALIVE_TIMEOUT_MS,
} from './constants.ts';

/** An HTTP call. */
export interface HttpCall {
  /** `host:port` or an origin. */
  address: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE' | 'PATCH' | 'HEAD' | 'OPTIONS';
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Time for the whole call in ms, or for the head of the answer with `open`. */
  timeoutMs: number;
  /** Opens a connection for this call alone instead of reusing one. */
  hasOwnConnection?: boolean;
  signal?: AbortSignal;
}

/** A call that got no whole answer. */
export type HttpFailure =
  /** No byte of the call was written; `refused` when the connection was refused. */
  | { type: 'notSent'; refused: boolean; reason: string }
  /** Bytes of the call may have arrived. */
  | { type: 'lost'; reason: string };

export type HttpAnswer =
  { type: 'answered'; status: number; headers: IncomingHttpHeaders; body: Buffer } | HttpFailure;

/** An answer whose body has not been read. */
export interface OpenResponse {
  type: 'open';
  status: number;
  headers: IncomingHttpHeaders;
  body: Dispatcher.ResponseData['body'];
  /** Closes a fresh connection. */
  close: () => void;
}

/** Reason of a failure that was a timeout. */
export const TIMEOUT_REASON = 'timed out';

const OPTIONS = {
  pipelining: 1,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
  connect: { timeout: CONNECT_TIMEOUT_MS },
  // The calls bring their own limits.
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Returns the origin of `address`, which is an origin or `host:port`. */
export function getOrigin(address: string): string {
  return address.includes('://') ? new URL(address).origin : `http://${address}`;
}

/** Whether a byte of a call may have been written; passed through undici as the call's `opaque`. */
interface Progress {
  isSent: boolean;
}

/** Marks a call as sent before its first byte is written. */
const markSent: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
  dispatch(options, newSentHandler(handler, (options as { opaque?: Progress }).opaque));

function newSentHandler(
  handler: Dispatcher.DispatchHandler,
  progress: Progress | undefined,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      if (progress !== undefined) progress.isSent = true;
      handler.onRequestStart?.(controller, context);
    },
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}

function isRefused(error: unknown): boolean {
  if (error instanceof AggregateError) return error.errors.every(isRefused);
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function getReason(error: unknown): string {
  return error instanceof Error ? error.message || error.name : String(error);
}

/** Kept connections to one origin. */
interface Connections {
  agent: Agent;
  marked: Dispatcher;
}

/** HTTP calls over kept connections. Never repeats a call and never throws. */
export class HttpClient {
  private readonly pools = new Map<string, Connections>();

  private constructor(private readonly options: typeof OPTIONS & { localAddress?: string }) {}

  /** `localAddress` is the IP number that connections are opened from. */
  static create({ localAddress }: { localAddress?: string } = {}): HttpClient {
    return new HttpClient({ ...OPTIONS, localAddress });
  }

  /** Makes a call and reads the whole answer. */
  async call(call: HttpCall): Promise<HttpAnswer> {
    const started = performance.now();
    const opened = await this.open(call);
    if (opened.type !== 'open') return opened;
    const remainingMs = Math.max(1, call.timeoutMs - (performance.now() - started));
    const timer = setTimeout(
      () => opened.body.destroy(new Error(TIMEOUT_REASON)),
      Math.ceil(remainingMs),
    );
    try {
      const body = Buffer.from(await opened.body.arrayBuffer());
      return { type: 'answered', status: opened.status, headers: opened.headers, body };
    } catch (error) {
      this.retireConnections(call.address);
      return { type: 'lost', reason: getReason(error) };
    } finally {
      clearTimeout(timer);
      opened.close();
    }
  }

  /** Makes a call and returns once the head of the answer has arrived. */
  async open(call: HttpCall): Promise<OpenResponse | HttpFailure> {
    const origin = getOrigin(call.address);
    const client = call.hasOwnConnection === true ? new Client(origin, this.options) : undefined;
    const dispatcher = client?.compose(markSent) ?? this.getPool(origin).marked;
    const close = () => {
      client?.destroy().catch(() => undefined);
    };
    const progress: Progress = { isSent: false };
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(new Error(TIMEOUT_REASON)), call.timeoutMs);
    try {
      const answer = await dispatcher.request({
        origin,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.body,
        opaque: progress,
        signal: call.signal ? AbortSignal.any([abort.signal, call.signal]) : abort.signal,
      });
      return {
        type: 'open',
        status: answer.statusCode,
        headers: answer.headers,
        body: answer.body,
        close,
      };
    } catch (error) {
      close();
      const reason = getReason(error);
      if (!progress.isSent) return { type: 'notSent', refused: isRefused(error), reason };
      if (call.signal?.aborted !== true) this.retireConnections(call.address);
      return { type: 'lost', reason };
    } finally {
      clearTimeout(timer);
    }
  }

  /** Stops reusing the connections to `address`; calls in flight on them go on. */
  retireConnections(address: string): void {
    const origin = getOrigin(address);
    const pool = this.pools.get(origin);
    if (pool === undefined) return;
    this.pools.delete(origin);
    pool.agent.close().catch(() => undefined);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({ agent }) => agent.destroy()));
  }

  private getPool(origin: string): Connections {
    let pool = this.pools.get(origin);
    if (pool === undefined) {
      const agent = new Agent({ ...this.options, connections: MAX_CONNECTIONS_PER_ADDRESS });
      pool = { agent, marked: agent.compose(markSent) };
      this.pools.set(origin, pool);
    }
    return pool;
  }
}
