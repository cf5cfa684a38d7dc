import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { ByteBuffer } from '../base/byteBuffer.ts';
import { MAX_STATUS } from '../clients/constants.ts';
import type { BodyGarbage } from '../http/bodyGarbage.ts';
import type { BytesHolder, MemoryBudget } from '../http/memoryBudget.ts';
import type { ReadShare, ReadTurns } from '../eventLoop/readTurns.ts';
import { type BodyFraming, getBodyFraming } from '../clients/closeDelimited.ts';
import type { AttemptSpec, BodyEnd, ForwardOutcome } from '../forwards/types.ts';
import type { ConnectionProblem } from '../paths/types.ts';
import { RelayError } from '../relays/relayClient.ts';
import {
  DISCARD_TIMEOUT_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_CONNECTION_WAIT_MS,
  MAX_DISCARDED_BYTES,
  UNRESPONSIVE_AFTER_MS,
} from './constants.ts';
import { EventForwarder } from './eventForwarder.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import { PausableReading } from './pausableReading.ts';
import type { LabelPort } from './platform.ts';
import { getRawHeaders } from './rawHeaders.ts';
import type { ForwardAttemptListener, RunningForwardAttempt } from './endpointClient.ts';

type Controller = Dispatcher.DispatchController;

interface Options {
  spec: AttemptSpec;
  exchange: ForwardExchange;
  labels: LabelPort;
  /** Bytes of all requests and responses of the host. */
  budget: MemoryBudget;
  /** Has the buffers collected in which responses arrive. */
  garbage: BodyGarbage;
  /** Shares the event loop between the responses. */
  readTurns: ReadTurns;
  listener: ForwardAttemptListener;
  /** Called when a cancelled attempt got no response for so long that connections may be dead. */
  onUnresponsive: () => void;
}

/** Codes of errors of connections that the other side reset or closed. */
const LOST_CONNECTION_CODES = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'UND_ERR_SOCKET']);

type Mode = 'waiting' | 'buffering' | 'streaming' | 'discarding';

/** Handles the response to one attempt: passes on a stream event by event, buffers any other. */
export class ForwardResponseHandler
  implements Dispatcher.DispatchHandler, RunningForwardAttempt, BytesHolder
{
  readonly isComplete = false;
  private readonly sentAt = performance.now();
  private controller: Controller | undefined;
  private mode: Mode = 'waiting';
  private isEnded = false;
  private isCancelled = false;
  private status = 0;
  private framing: BodyFraming | undefined;
  private headers: string[] = [];
  private readonly received = ByteBuffer.create();
  private discardedBytes = 0;
  private discardTimer: NodeJS.Timeout | undefined;
  private readonly events: EventForwarder;
  private readonly reading = PausableReading.create();
  private readonly readShare: ReadShare;
  /** Whether a byte of an answer arrived. */
  private hasReceived = false;
  private receivedAt = this.sentAt;

  private constructor(private readonly options: Options) {
    const { exchange, readTurns } = options;
    this.events = EventForwarder.create({ exchange, onFirstEvent: () => this.startResponse() });
    this.readShare = readTurns.newShare();
  }

  static create(options: Options): ForwardResponseHandler {
    return new ForwardResponseHandler(options);
  }

  get hasEnded(): boolean {
    return this.isEnded;
  }

  /** Closes the connection, which cancels the request on the endpoint. */
  cancel(): void {
    this.isCancelled = true;
    this.reportIfUnresponsive();
    this.controller?.abort(new Error('cancelled'));
    this.end({ type: 'cancelled' });
  }

  breakIfSilent(silentMs: number): void {
    // Nothing arrives while this host does not read.
    if (this.isEnded || this.reading.isPausedFor('caller')) return;
    if (performance.now() - this.receivedAt < silentMs) return;
    this.endBroken('the path to the endpoint is lost', 'silent');
    this.controller?.abort(new Error('the path to the endpoint is lost'));
    this.isCancelled = true;
  }

  /** Breaks the response off because all responses together need too much memory. */
  evict(): void {
    this.endBroken('the responses of all endpoints need too much memory');
    this.mode = 'discarding';
    this.controller?.abort(new Error('the responses of all endpoints need too much memory'));
  }

  /** Ends an attempt that failed before anything was written. */
  failUnsent(reason: string): void {
    this.end({ type: 'unreachable', reason });
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    // The attempt was cancelled while it waited for a connection: nothing was written.
    if (this.isCancelled) controller.abort(new Error('cancelled'));
    else if (this.options.listener.isTooLate()) this.abortTooLate(controller);
    else this.abortIfOutdated(controller);
  }

  onResponseStart(controller: Controller, status: number, headers: IncomingHttpHeaders): void {
    this.recordReceived();
    if (status < 200) return;
    if (status > MAX_STATUS) {
      this.abort(controller, `${status} is no status of an answer`);
      return;
    }
    const { labels, spec, exchange, listener } = this.options;
    const raw = getRawHeaders(controller);
    const response = labels.readResponseLabels(status, raw, spec.endpoint);
    const isOwn = response.attemptId === exchange.attemptId;
    // Endpoints echo the attempt in refusals too; one without it may be an earlier one, sent again.
    if (!isOwn) {
      this.abort(controller, `the response belongs to attempt "${response.attemptId}"`);
      return;
    }
    if (response.notRun !== undefined) {
      if (response.notRun !== 'otherEndpoint') listener.onNoticeRead(response.notice);
      this.startDiscarding(controller);
      this.end({ type: 'notRun', reason: response.notRun });
      return;
    }
    if (!response.isSealed && status < 300) {
      this.abort(controller, `the response with status ${status} has no seal`);
      return;
    }
    listener.onNoticeRead(response.notice);
    this.status = status;
    this.framing = getBodyFraming(exchange.method, status, headers);
    this.headers = labels.getResponseHeaders(raw);
    this.mode = spec.isStream && status === 200 ? 'streaming' : 'buffering';
    if (this.mode === 'buffering' && exchange.hasResponseStarted) {
      this.abort(controller, `expected a resumed stream, got status ${status}`);
    }
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.recordReceived();
    this.options.garbage.add(chunk.length);
    this.waitForTurn(controller, chunk.length);
    if (this.mode === 'streaming') {
      this.passEvents(controller, chunk);
    } else if (this.mode === 'buffering') {
      this.received.append(chunk);
      if (this.received.length > MAX_BUFFERED_RESPONSE_BYTES)
        this.abort(controller, `the response is larger than ${MAX_BUFFERED_RESPONSE_BYTES} bytes`);
      else this.hold(this.received.capacity);
    } else if (this.mode === 'discarding') {
      this.discardedBytes += chunk.length;
      if (this.discardedBytes > MAX_DISCARDED_BYTES)
        controller.abort(new Error('the response has no end'));
    }
  }

  onResponseEnd(controller: Controller): void {
    clearTimeout(this.discardTimer);
    if (this.isEnded) return;
    const { exchange } = this.options;
    if (this.mode === 'streaming') {
      if (this.events.isWithinEvent) {
        this.abort(controller, 'the stream ended within an event');
        return;
      }
      if (this.mayHaveStoppedBehindHead()) {
        this.abort(controller, 'the stream ended without an event');
        return;
      }
      const { longestPauseMs, pendingBytes } = this.events;
      exchange.startResponse(this.status, this.headers);
      this.events.finish();
      this.end({ type: 'passed', longestPauseMs, bodyEnd: this.getBodyEnd(pendingBytes) });
      return;
    }
    const { status, headers } = this;
    exchange.setResponse({ status, headers, body: this.received.take() });
    this.end({ type: 'answered', status: this.status, bodyEnd: this.getBodyEnd() });
  }

  onResponseError(_controller: Controller, error: Error): void {
    clearTimeout(this.discardTimer);
    const reason = error.message === '' ? error.name : error.message;
    if (this.controller === undefined)
      this.end({ type: 'unreachable', reason, problem: getConnectProblem(error) });
    else this.endBroken(reason, this.isConnectionLost(error) ? 'lost' : undefined);
  }

  /**
   * Whether nothing tells the end of the stream from an endpoint that stopped right behind the head. A stream
   * that goes on may have no further event.
   */
  private mayHaveStoppedBehindHead(): boolean {
    const { exchange } = this.options;
    const isContinued = exchange.hasResponseStarted || exchange.resumesStream;
    return this.framing === 'connectionClose' && !this.events.hasPassedEvent && !isContinued;
  }

  private passEvents(controller: Controller, chunk: Buffer): void {
    if (this.isEnded) return;
    const passed = this.events.push(chunk);
    if (passed.problem !== undefined) {
      this.abort(controller, passed.problem);
      return;
    }
    this.hold(this.events.pendingBytes);
    if (!passed.isCallerReady) this.waitForCaller(controller);
  }

  private startResponse(): void {
    const { exchange, listener } = this.options;
    exchange.startResponse(this.status, this.headers);
    listener.onResponseStarted();
  }

  /** Pauses the reading until the caller has taken what was passed on. */
  private waitForCaller(controller: Controller): void {
    if (this.reading.isPausedFor('caller')) return;
    this.reading.pause(controller, 'caller');
    this.options.listener.onReadingPaused();
    this.options.exchange.onceDrained(() => this.readOnForCaller(controller));
  }

  private readOnForCaller(controller: Controller): void {
    if (!this.isEnded) {
      this.receivedAt = performance.now();
      this.options.listener.onReadingResumed();
    }
    this.reading.resume(controller, 'caller');
  }

  /** Lets other connections have their turn, also while an endpoint sends without a pause. */
  private waitForTurn(controller: Controller, bytes: number): void {
    const { readTurns } = this.options;
    if (!readTurns.count(this.readShare, bytes) || this.reading.isPausedFor('turn')) return;
    this.reading.pause(controller, 'turn');
    readTurns.wait(this.readShare, () => this.reading.resume(controller, 'turn'));
  }

  /** Reads the rest of a response, so that its connection can be reused, if it ends soon. */
  private startDiscarding(controller: Controller): void {
    this.mode = 'discarding';
    this.discardTimer = setTimeout(
      () => controller.abort(new Error('the response has no end')),
      DISCARD_TIMEOUT_MS,
    );
    this.discardTimer.unref();
  }

  private hold(bytes: number): void {
    if (!this.isEnded) this.options.budget.hold(this, bytes);
  }

  private abort(controller: Controller, reason: string): void {
    this.endBroken(reason);
    this.mode = 'discarding';
    controller.abort(new Error(reason));
  }

  private endBroken(reason: string, problem?: ConnectionProblem): void {
    const { lastEventId } = this.options.exchange;
    const bodyEnd = this.getBodyEnd(this.events.pendingBytes);
    this.end({ type: 'broken', reason, lastEventId, bodyEnd, problem });
  }

  private getBodyEnd(bytesAfterLastEvent = 0): BodyEnd | undefined {
    if (this.framing === undefined) return undefined;
    const isStream = this.mode === 'streaming';
    return {
      framing: this.framing,
      bytesAfterLastEvent: isStream ? bytesAfterLastEvent : undefined,
    };
  }

  /** Ends an attempt of which nothing was written, and whose request ends in a moment. */
  private abortTooLate(controller: Controller): void {
    this.end({ type: 'unsent' });
    controller.abort(new Error('nobody waits for the answer'));
  }

  /**
   * Ends an attempt that waited for its connection until its headers state more time than is left, or
   * until its endpoint takes no more requests; nothing was written yet.
   */
  private abortIfOutdated(controller: Controller): void {
    const waitedMs = performance.now() - this.sentAt;
    if (waitedMs <= MAX_CONNECTION_WAIT_MS && this.options.listener.isStillWanted()) return;
    const reason = `waited ${Math.round(waitedMs)} ms for a connection`;
    this.end({ type: 'unreachable', reason });
    controller.abort(new Error(reason));
  }

  /** Whether the connection broke before a byte of the answer arrived. */
  private isConnectionLost(error: Error): boolean {
    return (
      !this.hasReceived && LOST_CONNECTION_CODES.has((error as NodeJS.ErrnoException).code ?? '')
    );
  }

  private reportIfUnresponsive(): void {
    const hasResponse = this.mode !== 'waiting';
    if (!hasResponse && performance.now() - this.sentAt > UNRESPONSIVE_AFTER_MS)
      this.options.onUnresponsive();
  }

  private recordReceived(): void {
    this.hasReceived = true;
    this.receivedAt = performance.now();
    this.options.listener.onReceived();
  }

  private end(outcome: ForwardOutcome): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.budget.release(this);
    this.received.clear();
    this.options.listener.onEnded(outcome, this.hasReceived);
  }
}

/** Returns why a connection could not be opened, as far as it tells something of the path. */
function getConnectProblem(error: Error): ConnectionProblem {
  return error instanceof RelayError ? error.problem : 'unanswered';
}
