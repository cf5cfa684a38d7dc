import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AttemptSpec, ForwardOutcome } from '../forwards/types.ts';
import { MAX_BUFFERED_RESPONSE_BYTES, UNRESPONSIVE_AFTER_MS } from './constants.ts';
import type { SocketEndTracker } from './connector.ts';
import { EventSplitter, type StreamEvent } from './eventSplitter.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import type { LabelPort } from './platform.ts';
import type { ForwardAttemptListener, RunningForwardAttempt } from './endpointClient.ts';

type Controller = Dispatcher.DispatchController;

interface Options {
  order: AttemptSpec;
  exchange: ForwardExchange;
  labels: LabelPort;
  events: ForwardAttemptListener;
  ends: SocketEndTracker;
  /** Called when the endpoint gave no sign for long, so that its connections may be dead. */
  onSilent: () => void;
}

type Mode = 'waiting' | 'keeping' | 'streaming' | 'discarding';

/** Takes the answer to one send: passes a stream on event by event and keeps any other whole. */
export class ForwardResponseHandler implements Dispatcher.DispatchHandler, RunningForwardAttempt {
  private readonly sentAt = performance.now();
  private controller: Controller | undefined;
  private mode: Mode = 'waiting';
  private isEnded = false;
  private isCancelled = false;
  private status = 0;
  /** Whether the answer says where it ends, other than with its connection. */
  private hasLength = false;
  private headers: string[] = [];
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private readonly cutter = EventSplitter.create();
  private hasStarted = false;
  private passedAt = 0;
  private longestPauseMs = 0;

  private constructor(private readonly options: Options) {}

  static create(options: Options): ForwardResponseHandler {
    return new ForwardResponseHandler(options);
  }

  get hasEnded(): boolean {
    return this.isEnded;
  }

  /** Closes the connection, which ends the request at the endpoint. */
  cancel(): void {
    this.isCancelled = true;
    this.checkSilence();
    this.controller?.abort(new Error('cancelled'));
    this.end({ type: 'cancelled' });
  }

  /** Ends a send that was refused before anything was written. */
  failUnsent(reason: string): void {
    this.end({ type: 'unreachable', reason });
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    // It was cancelled while it waited for a connection: nothing is written.
    if (this.isCancelled) controller.abort(new Error('cancelled'));
  }

  onResponseStart(controller: Controller, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return;
    const { labels, order, exchange } = this.options;
    const raw = getRawHeaders(controller);
    const answer = labels.readResponseLabels(status, raw, order.endpoint);
    const isOwn = answer.attemptId === exchange.attemptId;
    if (!isOwn && (answer.attemptId !== '' || answer.notRun === undefined)) {
      this.abort(controller, `it answers attempt "${answer.attemptId}"`);
      return;
    }
    if (answer.notRun !== undefined) {
      this.mode = 'discarding';
      this.end({ type: 'notRun', reason: answer.notRun });
      return;
    }
    if (!answer.isSealed && status < 300) {
      this.abort(controller, `the answer with status ${status} has no seal`);
      return;
    }
    this.status = status;
    this.hasLength = 'content-length' in headers || 'transfer-encoding' in headers;
    this.headers = labels.getResponseHeaders(raw);
    this.mode = order.isStream && status === 200 ? 'streaming' : 'keeping';
    if (this.mode === 'keeping' && exchange.hasResponseStarted) {
      this.abort(controller, `status ${status} where a stream was to go on`);
    }
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.mode === 'streaming') {
      for (const event of this.cutter.push(chunk)) this.pass(controller, event);
    } else if (this.mode === 'keeping') {
      this.size += chunk.length;
      if (this.size <= MAX_BUFFERED_RESPONSE_BYTES) this.chunks.push(Buffer.from(chunk));
      else this.abort(controller, `the answer is longer than ${MAX_BUFFERED_RESPONSE_BYTES} bytes`);
    }
  }

  onResponseEnd(controller: Controller): void {
    if (this.isEnded) return;
    const { exchange, ends } = this.options;
    if (!this.hasLength && !ends.isGracefulClose()) {
      this.abort(controller, 'the connection was reset within an answer without a length');
      return;
    }
    if (this.mode === 'streaming') {
      const rest = this.cutter.takeRemainder();
      if (rest.length > 0) this.pass(controller, { bytes: rest, id: undefined });
      exchange.startResponse(this.status, this.headers);
      this.end({ type: 'passed', longestPauseMs: this.longestPauseMs });
      return;
    }
    exchange.bufferedResponse = {
      status: this.status,
      headers: this.headers,
      body: Buffer.concat(this.chunks),
    };
    this.end({ type: 'answered', status: this.status });
  }

  onResponseError(_controller: Controller, error: Error): void {
    const reason = error.message === '' ? error.name : error.message;
    if (this.controller === undefined) this.end({ type: 'unreachable', reason });
    else this.end({ type: 'broken', reason, lastEventId: this.options.exchange.lastEventId });
  }

  private pass(controller: Controller, { bytes, id }: StreamEvent): void {
    const { exchange, events } = this.options;
    if (this.isEnded || isRepeated(id, exchange.lastEventId)) return;
    const now = performance.now();
    if (this.hasStarted) this.longestPauseMs = Math.max(this.longestPauseMs, now - this.passedAt);
    this.passedAt = now;
    if (!this.hasStarted) {
      this.hasStarted = true;
      exchange.startResponse(this.status, this.headers);
      events.onResponseStarted();
    }
    if (id !== undefined) exchange.lastEventId = id;
    if (exchange.write(bytes)) return;
    controller.pause();
    exchange.onceDrained(() => controller.resume());
  }

  private abort(controller: Controller, reason: string): void {
    this.mode = 'discarding';
    controller.abort(new Error(reason));
    this.end({ type: 'broken', reason, lastEventId: this.options.exchange.lastEventId });
  }

  private checkSilence(): void {
    const hasAnswer = this.mode !== 'waiting';
    if (!hasAnswer && performance.now() - this.sentAt > UNRESPONSIVE_AFTER_MS)
      this.options.onSilent();
  }

  private end(outcome: ForwardOutcome): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.events.onEnded(outcome);
  }
}

/** A stream that goes on elsewhere may begin with events that were passed on already. */
function isRepeated(id: string | undefined, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return false;
  const [number, before] = [Number(id), Number(last)];
  return Number.isFinite(number) && Number.isFinite(before) ? number <= before : id === last;
}

function getRawHeaders(controller: Controller): string[] {
  const raw = (controller as { rawHeaders?: unknown }).rawHeaders;
  return Array.isArray(raw) ? raw.map(String) : [];
}
