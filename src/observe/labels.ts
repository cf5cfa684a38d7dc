/** Names that the text format itself uses on summaries. */
const RESERVED = new Set(['quantile', 'le']);

export type MetricLabels = Readonly<Record<string, string>>;

/**
 * Returns `{name="value",...}` with names in order, or '' without labels. Names and values come from
 * requests as well, so both are brought into the form that the text format allows.
 */
export function formatLabels(labels: MetricLabels, extra?: [string, string]): string {
  const own = Object.entries(labels)
    .map(([name, value]): [string, string] => [getLabelName(name), value])
    .sort(([a], [b]) => (a < b ? -1 : 1));
  // A repeated name makes a sample invalid; the first one is kept.
  const pairs = new Map([...(extra === undefined ? [] : [extra]), ...own.reverse()]);
  if (pairs.size === 0) return '';
  const text = [...pairs].reverse().map(([name, value]) => `${name}="${escapeValue(value)}"`);
  return `{${text.join(',')}}`;
}

function getLabelName(name: string): string {
  const clean = name.replace(/[^a-zA-Z0-9_]/g, '_').replace(/^(?=\d|__|$)/, 'label_');
  return RESERVED.has(clean) ? `label_${clean}` : clean;
}

function escapeValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');
}
