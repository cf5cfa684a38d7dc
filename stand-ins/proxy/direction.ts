import type { Socket } from 'node:net';

/** Bytes held back in one direction above which the sender is paused. */
const MAX_HELD_BYTES = 1_048_576;

interface Part {
  dueAt: number;
  /** Undefined ends the stream. */
  data: Uint8Array | undefined;
}

/** Moves bytes from one socket to another, later or not at all. */
export class Direction {
  /** Holds everything back until cleared. */
  isCut = false;
  delayMs = 0;
  private readonly parts: Part[] = [];
  private heldBytes = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly from: Socket,
    private readonly to: Socket,
  ) {}

  /** `accepts` sees each part first; it returns false when the part must not be passed on. */
  static create(from: Socket, to: Socket, accepts: () => boolean): Direction {
    const direction = new Direction(from, to);
    from.on('data', (data) => {
      if (accepts()) direction.push(typeof data === 'string' ? Buffer.from(data) : data);
    });
    from.on('end', () => direction.push(undefined));
    to.on('drain', () => direction.pump());
    return direction;
  }

  /** Passes on what is due. */
  pump(): void {
    clearTimeout(this.timer);
    if (this.isCut) return;
    const now = performance.now();
    for (let part = this.parts[0]; part !== undefined; part = this.parts[0]) {
      if (part.dueAt > now) {
        this.timer = setTimeout(() => this.pump(), Math.ceil(part.dueAt - now));
        return;
      }
      this.parts.shift();
      if (part.data === undefined) {
        this.to.end();
        return;
      }
      this.heldBytes -= part.data.length;
      if (this.heldBytes < MAX_HELD_BYTES) this.from.resume();
      if (!this.to.write(part.data)) return;
    }
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private push(data: Uint8Array | undefined): void {
    this.parts.push({ dueAt: performance.now() + this.delayMs, data });
    this.heldBytes += data?.length ?? 0;
    if (this.heldBytes >= MAX_HELD_BYTES) this.from.pause();
    this.pump();
  }
}
