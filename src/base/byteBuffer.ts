const INITIAL_BYTES = 1_024;

/**
 * Bytes that arrive in parts. Copies each part into one buffer that grows by doubling: the cost of a byte
 * does not depend on the size of the parts, and small parts need no more memory than large ones.
 */
export class ByteBuffer {
  private bytes: Buffer = Buffer.alloc(0);
  private start = 0;
  private end = 0;

  private constructor() {}

  static create(): ByteBuffer {
    return new ByteBuffer();
  }

  get length(): number {
    return this.end - this.start;
  }

  /** Memory that it takes, in bytes. */
  get capacity(): number {
    return this.bytes.length;
  }

  /** The bytes that are held; valid until the next `append`. */
  get content(): Buffer {
    return this.bytes.subarray(this.start, this.end);
  }

  append(part: Uint8Array): void {
    if (this.end + part.length > this.bytes.length) this.grow(this.length + part.length);
    this.bytes.set(part, this.end);
    this.end += part.length;
  }

  /** Removes the first `count` bytes. */
  drop(count: number): void {
    this.start += count;
    if (this.start < this.end) return;
    this.start = 0;
    this.end = 0;
  }

  /** Returns the bytes that are held and removes them. */
  take(): Buffer {
    const { content } = this;
    this.clear();
    return content;
  }

  /** Removes all bytes and releases their memory. */
  clear(): void {
    this.bytes = Buffer.alloc(0);
    this.start = 0;
    this.end = 0;
  }

  private grow(neededBytes: number): void {
    const size = Math.max(INITIAL_BYTES, 2 ** Math.ceil(Math.log2(neededBytes)));
    const grown = Buffer.allocUnsafeSlow(size);
    grown.set(this.content);
    this.end = this.length;
    this.start = 0;
    this.bytes = grown;
  }
}
