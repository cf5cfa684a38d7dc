import { DURATION_SAMPLES, MAX_MEASURED_ROUTES } from './constants.ts';

/** Durations of the last requests of each route, in ms. */
export class RouteDurations {
  private readonly samples = new Map<string, number[]>();

  private constructor() {}

  static create(): RouteDurations {
    return new RouteDurations();
  }

  add(route: string, durationMs: number): void {
    // Routes come and go with the routing table; the ones in use are measured again soon.
    if (this.samples.size >= MAX_MEASURED_ROUTES && !this.samples.has(route)) this.samples.clear();
    const samples = this.samples.get(route) ?? [];
    samples.push(durationMs);
    if (samples.length > DURATION_SAMPLES) samples.shift();
    this.samples.set(route, samples);
  }

  /** Returns the duration that a share of the requests of a route does not exceed; undefined without any. */
  getQuantile(route: string, share: number): number | undefined {
    const sorted = [...(this.samples.get(route) ?? [])].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * share) - 1];
  }
}
