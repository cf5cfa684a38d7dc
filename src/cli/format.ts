/** Returns rows as text in aligned columns under their titles. */
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

/** Returns lines, each indented by two spaces. */
export function indentLines(lines: readonly string[]): string {
  return lines.map((line) => `  ${line}`).join('\n');
}

/** Returns a time in UTC to the second. */
export function formatUtcTime(unixMs: number): string {
  return `${new Date(unixMs).toISOString().slice(0, 19)}Z`;
}
