import type { Comparison, Ratios } from './compare.ts';

/** Ratios of one scenario over all seeds. */
export interface Summary {
  scenario: string;
  slots: number;
  seeds: number[];
  /** Median, minimum and maximum over the seeds. */
  ratios: Record<string, [number, number, number]>;
}

/** Summarizes the comparisons of one scenario. */
export function summarize(comparisons: Comparison[]): Summary {
  const [first] = comparisons;
  const keys = Object.keys(first?.ratios ?? {}) as (keyof Ratios)[];
  return {
    scenario: first?.scenario ?? '',
    slots: first?.slots ?? 0,
    seeds: comparisons.map(({ seed }) => seed),
    ratios: Object.fromEntries(
      keys.map((key) => [key, getSpread(comparisons.map(({ ratios }) => ratios[key]))]),
    ),
  };
}

/** Returns median, minimum and maximum. */
export function getSpread(values: number[]): [number, number, number] {
  const sorted = [...values].sort((a, b) => a - b);
  const low = sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
  const high = sorted[Math.ceil((sorted.length - 1) / 2)] ?? NaN;
  return [(low + high) / 2, sorted[0] ?? NaN, sorted.at(-1) ?? NaN];
}
