const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/** An unmodified event of a stream, including the empty line that ends it. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined for an event without an id. */
  id: string | undefined;
}

/** Splits the bytes of an event stream into events. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes after the last complete event. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Returns the events that `chunk` completes. */
  push(chunk: Buffer): StreamEvent[] {
    let bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEnd(bytes);
      if (end === -1) break;
      const event = bytes.subarray(0, end);
      events.push({ bytes: event, id: ID_LINE.exec(event.toString('utf8'))?.[1] });
      bytes = bytes.subarray(end);
    }
    this.rest = bytes;
    return events;
  }

  /** Returns and removes the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** Returns the index after the first empty line, or -1 if there is none. */
function findEnd(bytes: Buffer): number {
  let from = 0;
  for (;;) {
    const index = bytes.indexOf(LINE_FEED, from);
    if (index === -1) return -1;
    const next = bytes[index + 1];
    if (next === LINE_FEED) return index + 2;
    if (next === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3;
    from = index + 1;
  }
}
