/** Label names that the Prometheus text format reserves for summaries and histograms. */
const RESERVED = new Set(['quantile', 'le']);

/** Values by label name. */
export type MetricLabels = Readonly<Record<string, string>>;

/**
 * Returns `{name="value",...}` sorted by name, or '' without labels. Names and values may come from
 * requests, so names are sanitized and values are escaped.
 */
export function formatLabels(labels: MetricLabels, extra?: [string, string]): string {
  const sanitized = Object.entries(labels)
    .map(([name, value]): [string, string] => [sanitizeLabelName(name), value])
    .sort(([a], [b]) => (a < b ? -1 : 1));
  // A duplicate name would make the sample invalid, so only the first one is kept.
  const pairs = new Map([...(extra === undefined ? [] : [extra]), ...sanitized.reverse()]);
  if (pairs.size === 0) return '';
  const text = [...pairs].reverse().map(([name, value]) => `${name}="${escapeValue(value)}"`);
  return `{${text.join(',')}}`;
}

function sanitizeLabelName(name: string): string {
  const clean = name.replace(/[^a-zA-Z0-9_]/g, '_').replace(/^(?=\d|__|$)/, 'label_');
  return RESERVED.has(clean) ? `label_${clean}` : clean;
}

function escapeValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');
}
