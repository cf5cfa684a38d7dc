import { type Histogram, build } from 'hdr-histogram-js';

/** The histogram records integers, so milliseconds are recorded as microseconds. */
const STEPS_PER_UNIT = 1_000;
/** Larger values are recorded as this value, in the metric's unit. */
const MAX_VALUE = 1_000_000_000;
/** Length of a window; quantiles cover the current and the previous one. */
const WINDOW_MS = 300_000;
const PERCENTILES = [50, 90, 95, 99, 99.9] as const;

/** Values of one histogram with one set of labels. */
export class HistogramSeries {
  private current = newHistogram();
  private previous = newHistogram();
  private sum = 0;
  private count = 0;

  private constructor(private windowStart: number) {}

  static create(now: number): HistogramSeries {
    return new HistogramSeries(now);
  }

  record(value: number, now: number): void {
    this.rotate(now);
    this.sum += value;
    this.count += 1;
    this.current.recordValue(Math.round(Math.min(value, MAX_VALUE) * STEPS_PER_UNIT));
  }

  /** Returns sum and count since the start, and quantiles of the last 5 to 10 minutes. */
  getSummary(now: number): { sum: number; count: number; quantiles: [string, number][] } {
    this.rotate(now);
    const recent = newHistogram();
    recent.add(this.previous);
    recent.add(this.current);
    return {
      sum: this.sum,
      count: this.count,
      quantiles: PERCENTILES.map((percentile) => [
        String(Number((percentile / 100).toFixed(3))),
        recent.totalCount === 0 ? NaN : recent.getValueAtPercentile(percentile) / STEPS_PER_UNIT,
      ]),
    };
  }

  private rotate(now: number): void {
    const elapsed = now - this.windowStart;
    if (elapsed < WINDOW_MS) return;
    this.previous = elapsed < 2 * WINDOW_MS ? this.current : newHistogram();
    this.current = newHistogram();
    this.windowStart = now;
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2_000,
    numberOfSignificantValueDigits: 2,
    autoResize: true,
    bitBucketSize: 32,
  });
}
