import { METRICS, type MetricName } from '../core/metricNames.ts';
import type { Observation } from '../core/observations.ts';
import { type MetricLabels, formatLabels } from './labels.ts';
import { HistogramSeries } from './histogramSeries.ts';

/** Maximum label sets per metric; further ones are recorded as `overflow="true"`. */
const MAX_SERIES = 2_000;
/** Maximum number of cached label texts. */
const MAX_CACHED_TEXTS = 10_000;
const OVERFLOW: MetricLabels = { overflow: 'true' };

type Measurement = Exclude<Observation, { type: 'log' }>;
type Recorders = Record<
  Measurement['type'],
  (metric: Metric, labels: MetricLabels, value: number) => void
>;

interface Metric {
  /** Values of counters and gauges, by label text. */
  readonly values: Map<string, number>;
  /** Series of histograms, by label text. */
  readonly series: Map<string, { labels: MetricLabels; series: HistogramSeries }>;
}

const recorders: Recorders = {
  count: ({ values }, labels, by) => {
    const key = getKey(values, labels);
    if (by >= 0) values.set(key, (values.get(key) ?? 0) + by);
  },
  gauge: ({ values }, labels, value) => void values.set(getKey(values, labels), value),
  observe: ({ series }, labels, value) => {
    const key = getKey(series, labels);
    const now = performance.now();
    const known = series.get(key) ?? {
      labels: key === getCachedText(labels) ? labels : OVERFLOW,
      series: HistogramSeries.create(now),
    };
    series.set(key, known);
    known.series.record(Math.max(0, value), now);
  },
};

/** Records the metrics in `METRICS` and renders them in the Prometheus text format. */
export class Metrics {
  private readonly metrics = new Map<MetricName, Metric>();

  private constructor() {
    for (const name of Object.keys(METRICS) as MetricName[]) {
      this.metrics.set(name, { values: new Map(), series: new Map() });
    }
  }

  static create(): Metrics {
    return new Metrics();
  }

  /** Records a measurement; values that are not finite are ignored. */
  record(observation: Measurement): void {
    const value = observation.type === 'count' ? observation.by : observation.value;
    const metric = this.metrics.get(observation.metric);
    if (metric === undefined || !Number.isFinite(value)) return;
    recorders[observation.type](metric, observation.labels, value);
  }

  /** Returns all metrics in the Prometheus text format, histograms as summaries. */
  render(): string {
    const now = performance.now();
    const lines = [...this.metrics].flatMap(([name, metric]) => {
      const { kind, help } = METRICS[name];
      const type = kind === 'histogram' ? 'summary' : kind;
      return [
        `# HELP ${name} ${help.replaceAll('\\', '\\\\').replaceAll('\n', '\\n')}`,
        `# TYPE ${name} ${type}`,
        ...[...metric.values].map(([labels, value]) => `${name}${labels} ${value}`),
        ...[...metric.series.values()].flatMap(({ labels, series }) =>
          getSummaryLines(name, labels, series, now),
        ),
      ];
    });
    return `${lines.join('\n')}\n`;
  }
}

function getSummaryLines(
  name: string,
  labels: MetricLabels,
  series: HistogramSeries,
  now: number,
): string[] {
  const { sum, count, quantiles } = series.getSummary(now);
  const text = formatLabels(labels);
  return [
    ...quantiles.map(
      ([quantile, value]) => `${name}${formatLabels(labels, ['quantile', quantile])} ${value}`,
    ),
    `${name}_sum${text} ${sum}`,
    `${name}_count${text} ${count}`,
  ];
}

/** Label texts by the JSON of their labels, cached because formatting sorts and escapes. */
const cachedTexts = new Map<string, string>();

function getCachedText(labels: MetricLabels): string {
  const json = JSON.stringify(labels);
  const known = cachedTexts.get(json);
  if (known !== undefined) return known;
  if (cachedTexts.size >= MAX_CACHED_TEXTS) cachedTexts.clear();
  const text = formatLabels(labels);
  cachedTexts.set(json, text);
  return text;
}

function getKey(known: ReadonlyMap<string, unknown>, labels: MetricLabels): string {
  const key = getCachedText(labels);
  return known.has(key) || known.size < MAX_SERIES ? key : formatLabels(OVERFLOW);
}
