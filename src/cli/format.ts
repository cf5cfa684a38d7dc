/** Formats rows as a text table with aligned columns. */
export function formatTable(
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = titles.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  return [titles, ...rows]
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Joins lines, each indented by two spaces. */
export function indentLines(lines: readonly string[]): string {
  return lines.map((line) => `  ${line}`).join('\n');
}

/** Formats a time as ISO 8601 in UTC, with a precision of seconds. */
export function formatUtcTime(unixMs: number): string {
  return `${new Date(unixMs).toISOString().slice(0, 19)}Z`;
}
