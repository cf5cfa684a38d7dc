import type { Dispatcher } from 'undici';

/** Returns names and values of the headers of a response, each octet as the character with its number. */
export function getRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = (controller as { rawHeaders?: unknown }).rawHeaders;
  return Array.isArray(raw) ? raw.map(decodeOctets) : [];
}

function decodeOctets(value: unknown): string {
  return Buffer.isBuffer(value) ? value.toString('latin1') : String(value);
}
