import { COMPLETION_TTL_MS, MAX_KNOWN_COMPLETIONS } from './constants.ts';

/** The attributes of requests that this host completed lately. */
export class Completions {
  /** Monotonic ms of the last completion by attribute, the oldest first. */
  private readonly completedAt = new Map<string, number>();

  private constructor() {}

  static create(): Completions {
    return new Completions();
  }

  add(key: string, now: number): void {
    // Deleted first, so that the map stays ordered by time.
    this.completedAt.delete(key);
    this.completedAt.set(key, now);
    if (this.completedAt.size <= MAX_KNOWN_COMPLETIONS) return;
    const [oldest] = this.completedAt.keys();
    if (oldest !== undefined) this.completedAt.delete(oldest);
  }

  has(key: string, now: number): boolean {
    return (this.completedAt.get(key) ?? -Infinity) + COMPLETION_TTL_MS > now;
  }
}
