import { ByteBuffer } from '../base/byteBuffer.ts';
import { type BlockKind, getBlockKind } from './eventCheck.ts';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Lines that set the id of an event; a byte order mark may precede the first line of a stream. */
const ID_LINES = /(?:^(?:\xEF\xBB\xBF)?|[\r\n])id: ?([^\r\n]*)/g;
/** Octets of a header value, one or more. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;
/** Empty lines and complete comment lines. */
const ONLY_COMMENTS = /^(?:\xEF\xBB\xBF)?(?::[^\r\n]*[\r\n]|[\r\n])*$/;

/** An unmodified block of lines of a stream, including the empty line that ends it. */
export interface StreamBlock {
  bytes: Buffer;
  kind: BlockKind;
  /** Octets of its id, each as one character, as a header carries them; undefined without an id. */
  id: string | undefined;
}

/**
 * Splits the bytes of an event stream into events and blocks of comments. Lines end with CRLF, LF or CR. A line
 * feed that arrives after the carriage return that ends a block belongs to the next one, as do empty lines.
 */
export class EventSplitter {
  private readonly rest = ByteBuffer.create();
  /** Start of the last line in `rest`, and the index up to which it was searched for line ends. */
  private lineStart = 0;
  private searchedTo = 0;
  /** Whether a line that is not empty has ended in `rest`. */
  private hasLine = false;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes after the last complete event. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Empty lines before the next block, in bytes. */
  get emptyLineBytes(): number {
    return this.hasLine ? 0 : this.lineStart;
  }

  /** Whether a part of an event, or of a line, follows the last complete event. */
  get isWithinEvent(): boolean {
    return !ONLY_COMMENTS.test(this.rest.content.toString('latin1'));
  }

  /** Returns the blocks that `chunk` completes. */
  push(chunk: Buffer): StreamBlock[] {
    this.rest.append(chunk);
    const blocks: StreamBlock[] = [];
    for (;;) {
      const end = this.findEnd();
      if (end === undefined) return blocks;
      blocks.push(newBlock(Buffer.from(this.rest.content.subarray(0, end))));
      this.rest.drop(end);
      this.lineStart = 0;
      this.searchedTo = 0;
      this.hasLine = false;
    }
  }

  /** Returns and removes the bytes after the last complete event. */
  takeRemainder(): Buffer {
    return this.rest.take();
  }

  /** Returns the index after the first empty line that follows another line. */
  private findEnd(): number | undefined {
    const rest = this.rest.content;
    for (let index = this.searchedTo; index < rest.length; index++) {
      const byte = rest[index];
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
      const isCrLf = byte === CARRIAGE_RETURN && rest[index + 1] === LINE_FEED;
      const lineEnd = index + (isCrLf ? 2 : 1);
      const isEmptyLine = index === this.lineStart;
      if (isEmptyLine && this.hasLine) return lineEnd;
      this.searchedTo = index;
      // A line feed may follow.
      if (byte === CARRIAGE_RETURN && lineEnd === rest.length) return undefined;
      this.hasLine ||= !isEmptyLine;
      this.lineStart = lineEnd;
      index = lineEnd - 1;
    }
    this.searchedTo = rest.length;
    return undefined;
  }
}

function newBlock(bytes: Buffer): StreamBlock {
  const text = bytes.toString('latin1');
  const kind = getBlockKind(text);
  return { bytes, kind, id: kind === 'event' ? getId(text) : undefined };
}

/** Returns the id that the last id line of an event sets; undefined if no header can carry it. */
function getId(event: string): string | undefined {
  const [, id = ''] = [...event.matchAll(ID_LINES)].at(-1) ?? [];
  return HEADER_VALUE.test(id) ? id : undefined;
}
