/** Engines that hold one adapter; adds, deletes and reads a position in constant time. */
export class HolderList {
  private readonly engines: string[] = [];
  private readonly positions = new Map<string, number>();

  private constructor() {}

  static create(): HolderList {
    return new HolderList();
  }

  get size(): number {
    return this.engines.length;
  }

  has(engine: string): boolean {
    return this.positions.has(engine);
  }

  add(engine: string): void {
    if (this.positions.has(engine)) return;
    this.positions.set(engine, this.engines.length);
    this.engines.push(engine);
  }

  delete(engine: string): void {
    const position = this.positions.get(engine);
    const last = this.engines.at(-1);
    if (position === undefined || last === undefined) return;
    this.engines[position] = last;
    this.positions.set(last, position);
    this.engines.pop();
    this.positions.delete(engine);
  }

  /** Returns up to `count` engines from position `start` on, wrapping around at the end. */
  getEnginesFrom(start: number, count: number): string[] {
    const size = this.engines.length;
    const found: string[] = [];
    for (let index = 0; index < Math.min(count, size); index++) {
      const engine = this.engines[(start + index) % size];
      if (engine !== undefined) found.push(engine);
    }
    return found;
  }
}
