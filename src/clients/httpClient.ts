import type { IncomingHttpHeaders } from 'node:http';
import { Agent, Client, type Dispatcher } from 'undici';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import { ByteBuffer } from '../base/byteBuffer.ts';
import type { BodyGarbage } from '../http/bodyGarbage.ts';
import { type BytesHolder, MemoryBudget } from '../http/memoryBudget.ts';
import { confirmCloseDelimited } from './closeDelimited.ts';
import { isServerRunning } from './connectionCheck.ts';
import { handOverInTurns, newTrackedConnector, SocketEndTracker } from './connector.ts';
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECTIONS_PER_ADDRESS,
  KEEP_ALIVE_TIMEOUT_MS,
  MAX_HELD_RESPONSE_BYTES,
  MAX_RESPONSE_BYTES,
  MAX_STATUS,
} from './constants.ts';
import { limitInterimResponses } from './interimResponses.ts';

/** An HTTP call. */
export interface HttpCall {
  /** Origin or `host:port`. */
  address: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE' | 'PATCH' | 'HEAD' | 'OPTIONS';
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Limit in ms for the whole call, or with `open` until the response headers arrive. */
  timeoutMs: number;
  /** Whether the call opens a new connection that no other call uses. */
  hasOwnConnection?: boolean;
  signal?: AbortSignal;
}

/** A call without a complete response. */
export type HttpFailure =
  /** No byte of the call was written; `refused` is true if the connection was refused. */
  | { type: 'notSent'; refused: boolean; reason: string }
  /** Bytes of the call may have arrived. */
  | { type: 'lost'; reason: string };

/** Result of a call: the complete response or a failure. */
export type HttpAnswer =
  { type: 'answered'; status: number; headers: IncomingHttpHeaders; body: Buffer } | HttpFailure;

/** A response whose body has not been read yet. */
export interface OpenResponse {
  type: 'open';
  status: number;
  headers: IncomingHttpHeaders;
  body: Dispatcher.ResponseData['body'];
  /** Closes the connection if the call opened its own. */
  close: () => void;
}

/** Reason of a failure by timeout. */
export const TIMEOUT_REASON = 'timed out';

const OPTIONS = {
  pipelining: 1,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
  // Each call has its own timeout.
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Returns the origin of `address`, which is an origin or `host:port`. */
export function getOrigin(address: string): string {
  return address.includes('://') ? new URL(address).origin : `http://${address}`;
}

/** Returns the `HOST:PORT` of an origin. */
function getAddress(origin: string): string {
  const { protocol, hostname, port } = new URL(origin);
  return `${hostname}:${port || (protocol === 'https:' ? 443 : 80)}`;
}

/** Limits of the bodies that are read as a whole. */
interface BodyLimits {
  maxBytes: number;
  /** Bytes of all bodies that are being read. */
  budget: MemoryBudget;
  garbage: BodyGarbage | undefined;
}

/** Reads a whole body; rejects and closes the connection when it is larger than the limits. */
async function readLimitedBody(
  body: OpenResponse['body'],
  { maxBytes, budget, garbage }: BodyLimits,
): Promise<Buffer> {
  const received = ByteBuffer.create();
  const holder: BytesHolder = {
    isComplete: false,
    evict: () => body.destroy(new Error('the responses to all calls need too much memory')),
  };
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      received.append(chunk);
      garbage?.add(chunk.length);
      if (received.length > maxBytes)
        throw new Error(`the response is larger than ${maxBytes} bytes`);
      budget.hold(holder, received.capacity);
    }
    return received.take();
  } finally {
    budget.release(holder);
  }
}

/** Whether a byte of a call may have been written; passed through undici as the call's `opaque`. */
interface SendProgress {
  isSent: boolean;
}

/** Marks a call as sent before its first byte is written. */
const markSent: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
  dispatch(options, newSentHandler(handler, (options as { opaque?: SendProgress }).opaque));

function newSentHandler(
  handler: Dispatcher.DispatchHandler,
  progress: SendProgress | undefined,
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

function isCancelled({ signal }: HttpCall): boolean {
  return signal?.aborted === true;
}

function getReason(error: unknown): string {
  return error instanceof Error ? error.message || error.name : String(error);
}

/** Pooled connections to one origin. */
interface ConnectionPool {
  agent: Agent;
  dispatcher: Dispatcher;
}

/** Makes HTTP calls over pooled connections. Never retries a call and never throws. */
export class HttpClient {
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly endTracker = SocketEndTracker.create();

  private constructor(
    private readonly localAddress: string | undefined,
    private readonly maxConnections: number,
    private readonly bodyLimits: BodyLimits,
    private readonly turns: TurnQueue | undefined,
  ) {}

  static create(
    options: {
      /** Local IP address of the connections. */
      localAddress?: string;
      /** Maximum number of connections to one address; further calls wait for one. */
      maxConnections?: number;
      /** Maximum size of a response that is read as a whole. */
      maxResponseBytes?: number;
      /** Bytes that all responses hold which are being read; a limit of its own by default. */
      budget?: MemoryBudget;
      /** Has the buffers of responses collected; without, the runtime decides when. */
      garbage?: BodyGarbage;
      /** Turns in which calls are written that may be cancelled; without, they are written at once. */
      turns?: TurnQueue;
    } = {},
  ): HttpClient {
    const { localAddress, maxConnections = MAX_CONNECTIONS_PER_ADDRESS } = options;
    const { maxResponseBytes: maxBytes = MAX_RESPONSE_BYTES } = options;
    const { budget = MemoryBudget.create(MAX_HELD_RESPONSE_BYTES) } = options;
    const { garbage, turns } = options;
    return new HttpClient(localAddress, maxConnections, { maxBytes, budget, garbage }, turns);
  }

  /** Makes a call and reads the whole response. */
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
      const body = await readLimitedBody(opened.body, this.bodyLimits);
      return { type: 'answered', status: opened.status, headers: opened.headers, body };
    } catch (error) {
      this.retireConnections(call.address);
      return { type: 'lost', reason: getReason(error) };
    } finally {
      clearTimeout(timer);
      opened.close();
    }
  }

  /** Makes a call and returns once the response headers have arrived. */
  async open(call: HttpCall): Promise<OpenResponse | HttpFailure> {
    if (call.signal !== undefined) await this.turns?.wait('send');
    if (isCancelled(call)) return { type: 'notSent', refused: false, reason: 'cancelled' };
    const origin = getOrigin(call.address);
    const client =
      call.hasOwnConnection === true ? new Client(origin, this.getOptions()) : undefined;
    const dispatcher =
      client === undefined ? this.getPool(origin).dispatcher : this.compose(client, origin);
    const close = () => {
      client?.destroy().catch(() => undefined);
    };
    const progress: SendProgress = { isSent: false };
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
      if (answer.statusCode > MAX_STATUS) {
        answer.body.once('error', () => undefined).destroy();
        throw new Error(`${answer.statusCode} is no status of an answer`);
      }
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
      if (!isCancelled(call)) this.retireConnections(call.address);
      return { type: 'lost', reason };
    } finally {
      clearTimeout(timer);
    }
  }

  /** Stops reusing the connections to `address`; calls in flight on them continue. */
  retireConnections(address: string): void {
    const origin = getOrigin(address);
    const pool = this.pools.get(origin);
    if (pool === undefined) return;
    this.pools.delete(origin);
    pool.agent.close().catch(() => undefined);
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({ agent }) => agent.destroy()));
  }

  private getOptions() {
    const { localAddress, endTracker, turns } = this;
    const connect = newTrackedConnector(CONNECT_TIMEOUT_MS, endTracker);
    return {
      ...OPTIONS,
      localAddress,
      connect: turns === undefined ? connect : handOverInTurns(connect, turns),
    };
  }

  private compose(dispatcher: Dispatcher, origin: string): Dispatcher {
    const { localAddress, endTracker } = this;
    const address = getAddress(origin);
    return dispatcher.compose(
      markSent,
      limitInterimResponses,
      confirmCloseDelimited({
        isServerRunning: () => isServerRunning(address, localAddress),
        endTracker,
      }),
    );
  }

  private getPool(origin: string): ConnectionPool {
    let pool = this.pools.get(origin);
    if (pool === undefined) {
      const agent = new Agent({ ...this.getOptions(), connections: this.maxConnections });
      pool = { agent, dispatcher: this.compose(agent, origin) };
      this.pools.set(origin, pool);
    }
    return pool;
  }
}
