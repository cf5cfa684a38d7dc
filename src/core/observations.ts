import type { MetricName } from './metricNames.ts';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Effects that write a log line or update a metric. */
export type Observation =
  | { type: 'log'; level: LogLevel; message: string; fields: Record<string, unknown> }
  | { type: 'count'; metric: MetricName; labels: Record<string, string>; by: number }
  /** Adds one value to a histogram, in the unit of the metric's name. */
  | { type: 'observe'; metric: MetricName; labels: Record<string, string>; value: number }
  | { type: 'gauge'; metric: MetricName; labels: Record<string, string>; value: number };

/** Returns a log effect. */
export function newLog(
  level: LogLevel,
  message: string,
  fields: Record<string, unknown> = {},
): Observation {
  return { type: 'log', level, message, fields };
}

/** Returns an effect that adds `by` to a counter. */
export function newCount(
  metric: MetricName,
  labels: Record<string, string> = {},
  by = 1,
): Observation {
  return { type: 'count', metric, labels, by };
}

/** Returns an effect that sets a gauge. */
export function newGauge(
  metric: MetricName,
  labels: Record<string, string>,
  value: number,
): Observation {
  return { type: 'gauge', metric, labels, value };
}

/** Returns an effect that records one value of a histogram. */
export function newObserve(
  metric: MetricName,
  labels: Record<string, string>,
  value: number,
): Observation {
  return { type: 'observe', metric, labels, value };
}
