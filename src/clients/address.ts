/** Splits `HOST:PORT`, also with an IPv6 address in brackets. */
export function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}
