/** Bytes of bodies after whose arrival their buffers are collected. */
const COLLECT_AFTER_BYTES = 2 * 1_024 * 1_024;

/**
 * Has the buffers collected in which bodies arrived. By itself the runtime lets 64 MB of them gather, which is more
 * than a small machine has left. Needs the runtime's flag `--expose-gc`, and does nothing without it.
 */
export class BodyGarbage {
  private bytes = 0;

  private constructor() {}

  static create(): BodyGarbage {
    return new BodyGarbage();
  }

  /** Records that a part of a body has arrived. */
  add(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes < COLLECT_AFTER_BYTES) return;
    this.bytes = 0;
    globalThis.gc?.({ type: 'minor' });
  }
}
