/** Value whose changes readers see only after `lagMs`. */
export class LaggedValue<T> {
  private history: { at: number; value: T }[] = [];

  private constructor(private readonly lagMs: number) {}

  static create<T>(lagMs: number, initial: T): LaggedValue<T> {
    const lagged = new LaggedValue<T>(lagMs);
    lagged.history.push({ at: -Infinity, value: initial });
    return lagged;
  }

  set(value: T): void {
    const now = performance.now();
    this.trimHistory(now);
    this.history.push({ at: now, value });
  }

  get(): T {
    this.trimHistory(performance.now());
    const first = this.history[0];
    if (first === undefined) throw new Error('lagged value has no initial value');
    return first.value;
  }

  private trimHistory(now: number): void {
    const next = this.history.findLastIndex(({ at }) => at <= now - this.lagMs);
    if (next > 0) this.history = this.history.slice(next);
  }
}
