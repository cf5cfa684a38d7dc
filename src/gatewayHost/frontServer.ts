import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Event } from '../core/events.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { AcceptBacklog } from '../eventLoop/acceptBacklog.ts';
import type { PollClock } from '../eventLoop/pollClock.ts';
import type { Result } from '../base/result.ts';
import type { Observer } from '../host/observer.ts';
import type { ArrivalQueue } from '../http/arrivalQueue.ts';
import type { CallerMemory } from '../http/callerMemory.ts';
import { onCallerLeft } from '../http/callerDeparture.ts';
import { type Reading, type RunningServer, startServer } from '../http/httpServer.ts';
import { sendFailure } from '../http/reply.ts';
import type { SocketAddress } from '../settings/values.ts';
import {
  BODY_TIMEOUT_MS,
  DEFAULT_MAX_BODY_BYTES,
  DEFAULT_HEADER_TIMEOUT_MS,
  MAX_HEADER_BYTES,
} from './constants.ts';
import { ForwardExchange } from './forwardExchange.ts';
import type { LabelPort } from './platform.ts';

/** The parts of the host that the front server uses. */
export interface FrontServerContext {
  readonly state: State;
  readonly labels: LabelPort;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly memory: CallerMemory;
  readonly pollClock: PollClock;
  readonly arrivals: ArrivalQueue;
  readonly backlog: AcceptBacklog;
  readonly observer: Observer;
  dispatch(event: Event): void;
}

/** HTTP server that receives callers' requests and dispatches them to the reducer. */
export class FrontServer {
  private server: RunningServer | undefined;
  private stopping: Promise<void> | undefined;
  private nextId = 0;

  private constructor(private readonly host: FrontServerContext) {}

  static create(host: FrontServerContext): FrontServer {
    return new FrontServer(host);
  }

  /** Starts listening and returns the port; rejects when the address is in use. */
  async start(address: SocketAddress): Promise<number> {
    const limits = { headerBytes: MAX_HEADER_BYTES, slowSenderMs: DEFAULT_HEADER_TIMEOUT_MS };
    const { backlog, arrivals, pollClock, labels, observer, memory } = this.host;
    this.server = await startServer(
      (request, response, reading) => this.handleRequest(request, response, reading),
      address,
      limits,
      {
        backlog,
        arrivals,
        pollClock,
        onHead: (request) => void this.readBody(request),
        getWaitMs: ({ rawHeaders }) => labels.readRequestLabels(rawHeaders).waitMs,
        onRejected: (request, failure) => this.observeRejection(request, failure),
        onClosed: () => observer.observe(newCount('fireflywick_closed_connections_total', {})),
      },
      memory.connectionLimit,
    );
    return this.server.port;
  }

  /** Stops accepting connections and resolves when all have ended. */
  async stop(): Promise<void> {
    this.stopping ??= this.server?.stop();
    await this.stopping;
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    reading: Reading,
  ): Promise<void> {
    const { state, labels: labelPort } = this.host;
    const limits = state.routeIndex.current?.table.limits;
    if (limits !== undefined) this.server?.setIdleTimeoutMs(limits.idleTimeoutMs);
    const refuse = (failure: Failure): void =>
      sendFailure(response, failure, { connection: 'close' });
    const headerBytes = getHeaderBytes(request);
    if (limits !== undefined && headerBytes > limits.headerBytes) {
      refuse(
        Failure.create(
          'headers_too_large',
          `the headers are ${headerBytes} bytes long, the limit is ${limits.headerBytes}`,
        ),
      );
      return;
    }
    const target = request.url ?? '/';
    if (!target.startsWith('/')) {
      refuse(Failure.create('bad_request', `the request target "${target}" is not a path`));
      return;
    }
    const { budget } = this.host.memory;
    const body = await this.readBody(request);
    if (body.err) {
      refuse(body.val);
      return;
    }
    const id = this.newForwardId();
    const labels = labelPort.readRequestLabels(request.rawHeaders);
    const method = request.method ?? 'GET';
    const exchange = ForwardExchange.create({
      method,
      target,
      headers: request.rawHeaders,
      body: body.val,
      attemptId: labels.attemptId,
      resumesStream: labels.hasLastEventId === true,
      response,
      isShuttingDown: () => state.phase !== 'running',
      budget,
    });
    this.host.exchanges.set(id, exchange);
    response.once('close', () => {
      exchange.release();
      this.host.exchanges.delete(id);
    });
    onCallerLeft(request, response, () => this.host.dispatch({ type: 'forwardCancelled', id }));
    // The caller closed its connection while the body was read.
    if (exchange.hasCallerLeft) {
      exchange.release();
      this.host.exchanges.delete(id);
      return;
    }
    this.host.dispatch({
      type: 'forwardArrived',
      forward: {
        id,
        host: request.headers.host ?? '',
        target,
        labels,
        caller: request.socket.remoteAddress ?? '',
        fingerprint: getFingerprint(method, target, labels.adapter, body.val),
        arrivedAt: reading.at,
        readDelayMs: reading.delayMs,
      },
    });
  }

  private readBody(request: IncomingMessage): Promise<Result<Buffer, Failure>> {
    const { state, memory } = this.host;
    const maxBytes = state.routeIndex.current?.table.limits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    return memory.readBody(request, { maxBytes, timeoutMs: BODY_TIMEOUT_MS });
  }

  private observeRejection({ url, rawHeaders }: IncomingMessage, failure: Failure): void {
    const { observer, labels } = this.host;
    const { kind: result, message: reason } = failure;
    const { attemptId: requestId } = labels.readRequestLabels(rawHeaders);
    observer.observe(newCount('fireflywick_requests_total', { firm: '', kind: 'forward', result }));
    observer.observe(newLog('info', 'request refused', { requestId, target: url, result, reason }));
  }

  private newForwardId(): string {
    this.nextId += 1;
    const { id, incarnation } = this.host.state.host;
    return `${id}-${incarnation % 1_000_000}-${this.nextId}`;
  }
}

function getHeaderBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function getFingerprint(method: string, target: string, adapter: string, body: Buffer): string {
  return createHash('sha1')
    .update(`${method} ${target} ${adapter}\n`)
    .update(body)
    .digest('base64');
}
