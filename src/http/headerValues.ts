/** Returns the values of a header, joined by commas; undefined if it is absent. */
export function joinHeaderValues(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}
