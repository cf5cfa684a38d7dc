import { decode, encode } from 'cbor-x';

const LENGTH_BYTES = 4;

/** Kinds of frames. The body of a frame is the array [kind, content]. */
export const FRAME_KIND = {
  hello: 0,
  heartbeat: 1,
  message: 2,
  relayRequest: 3,
  relayAnswer: 4,
} as const;

/** Encodes `content` as a frame: four bytes of body length, then the body in CBOR. */
export function encodeFrame(kind: number, content: unknown): Buffer {
  const body = encode([kind, content]);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decodes the kind and content of a frame body; returns undefined when it is malformed. */
export function decodeFrameBody(body: Buffer): { kind: number; content: unknown } | undefined {
  try {
    const value: unknown = decode(body);
    if (!Array.isArray(value) || typeof value[0] !== 'number') return undefined;
    return { kind: value[0], content: value[1] as unknown };
  } catch {
    return undefined;
  }
}

/** Splits a byte stream into frame bodies. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  private constructor() {}

  static create(): FrameReader {
    return new FrameReader();
  }

  /** Returns the bodies completed by `chunk`, or undefined when a body is longer than `maxBytes`. */
  push(chunk: Buffer, maxBytes: number): Buffer[] | undefined {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const bodies: Buffer[] = [];
    for (;;) {
      if (this.bufferedBytes < LENGTH_BYTES) return bodies;
      const length = this.peek(LENGTH_BYTES).readUInt32BE(0);
      if (length > maxBytes) return undefined;
      if (this.bufferedBytes < LENGTH_BYTES + length) return bodies;
      const all = this.peek(this.bufferedBytes);
      bodies.push(all.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      this.chunks = [all.subarray(LENGTH_BYTES + length)];
      this.bufferedBytes -= LENGTH_BYTES + length;
    }
  }

  /** Returns a buffer with at least the next `count` buffered bytes; joins chunks only if needed. */
  private peek(count: number): Buffer {
    const first = this.chunks[0];
    if (first !== undefined && first.length >= count) return first;
    const joined = Buffer.concat(this.chunks);
    this.chunks = [joined];
    return joined;
  }
}
