import { ByteBuffer } from '../base/byteBuffer.ts';
import { MAX_EVENT_BYTES, MAX_FILLER_BYTES } from './constants.ts';
import { EventSplitter, type StreamBlock } from './eventSplitter.ts';
import type { ForwardExchange } from './forwardExchange.ts';

interface Options {
  exchange: ForwardExchange;
  /** Called before the first event of this attempt is passed on; starts the response to the caller. */
  onFirstEvent: () => void;
}

/** What came of a part of a stream: why the stream has to be broken off, or whether its caller takes more. */
export type ForwardedPart = { problem: string } | { problem: undefined; isCallerReady: boolean };

/**
 * Passes a stream on to its caller event by event, the events of one part in one write. Comments and empty lines
 * are held until the first event, so that another attempt can still take its place. A stream of which nothing
 * else comes is broken off.
 */
export class EventForwarder {
  private readonly splitter = EventSplitter.create();
  /** Blocks without content that wait for the first event. */
  private readonly heldFillers = ByteBuffer.create();
  /** Bytes of blocks without content since the last event. */
  private fillerBytes = 0;
  private lastEventAt: number | undefined;
  /** Longest time between two events of this attempt, in ms. */
  longestPauseMs = 0;

  private constructor(private readonly options: Options) {}

  static create(options: Options): EventForwarder {
    return new EventForwarder(options);
  }

  get hasPassedEvent(): boolean {
    return this.lastEventAt !== undefined;
  }

  /** Bytes that have arrived and are not passed on. */
  get pendingBytes(): number {
    return this.splitter.pendingBytes + this.heldFillers.length;
  }

  /** Whether a part of an event, or of a line, follows the last complete event. */
  get isWithinEvent(): boolean {
    return this.splitter.isWithinEvent;
  }

  /** Passes the events on that `chunk` completes. */
  push(chunk: Buffer): ForwardedPart {
    const blocks = this.splitter.push(chunk);
    const malformedAt = blocks.findIndex(({ kind }) => kind === 'malformed');
    const isCallerReady = this.pass(malformedAt < 0 ? blocks : blocks.slice(0, malformedAt));
    const problem =
      malformedAt < 0 ? this.findProblem() : 'the stream holds bytes that are no event';
    return problem === undefined ? { problem, isCallerReady } : { problem };
  }

  /** Passes the comments and empty lines on that follow the last event. */
  finish(): void {
    const rest = Buffer.concat([this.heldFillers.take(), this.splitter.takeRemainder()]);
    if (rest.length > 0) this.options.exchange.write(rest);
  }

  private findProblem(): string | undefined {
    if (this.splitter.pendingBytes > MAX_EVENT_BYTES)
      return `an event is larger than ${MAX_EVENT_BYTES} bytes`;
    if (this.fillerBytes + this.splitter.emptyLineBytes > MAX_FILLER_BYTES)
      return `${MAX_FILLER_BYTES} bytes have brought no event`;
    return undefined;
  }

  /** Passes blocks on in one write; returns whether the caller takes more. */
  private pass(blocks: readonly StreamBlock[]): boolean {
    const { exchange } = this.options;
    const wanted = blocks.filter((block) => this.accept(block)).map(({ bytes }) => bytes);
    if (wanted.length === 0) return true;
    if (this.hasPassedEvent || exchange.hasResponseStarted)
      return exchange.write(Buffer.concat([this.heldFillers.take(), ...wanted]));
    for (const bytes of wanted) this.heldFillers.append(bytes);
    return true;
  }

  /** Records a block; returns whether it is passed on. */
  private accept({ kind, id, bytes }: StreamBlock): boolean {
    const { exchange } = this.options;
    if (kind === 'filler') {
      this.fillerBytes += bytes.length;
      return true;
    }
    if (isRepeated(id, exchange.lastEventId)) return false;
    this.fillerBytes = 0;
    this.recordEvent();
    if (id !== undefined) exchange.lastEventId = id;
    return true;
  }

  private recordEvent(): void {
    const now = performance.now();
    if (this.lastEventAt === undefined) this.options.onFirstEvent();
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastEventAt);
    this.lastEventAt = now;
  }
}

/** Whether an event was passed on before; a resumed stream may start with such events. */
function isRepeated(id: string | undefined, last: string | undefined): boolean {
  if (id === undefined || last === undefined) return false;
  const [number, before] = [Number(id), Number(last)];
  return Number.isFinite(number) && Number.isFinite(before) ? number <= before : id === last;
}
