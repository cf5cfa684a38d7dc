const MAX_PORT = 65_535;
const MAX_OCTET = 255;

/** Whether `text` is an IPv4 address and a port that a connection can be opened to, as `IP:PORT`. */
export function isSocketAddress(text: string): boolean {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [, ...parts] = match;
  const port = Number(parts.pop());
  return port >= 1 && port <= MAX_PORT && parts.every((octet) => Number(octet) <= MAX_OCTET);
}
