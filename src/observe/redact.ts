const SECRET_NAMES = new Set([
  'apikey',
  'authorization',
  'cookie',
  'operatorkey',
  'password',
  'proxy-authorization',
  'secret',
  'set-cookie',
]);
const BEARER = /\b(Bearer)\s+\S+/gi;
const URL_PASSWORD = /(\/\/[^/\s:@]*):[^/\s@]*@/g;
const REDACTED = '[redacted]';
const MAX_DEPTH = 6;

/** Returns a copy of `value` that is safe to log: secrets are redacted, errors become text. */
export function redact(value: unknown, depth = 0): unknown {
  if (typeof value === 'string') {
    return value.replace(BEARER, `$1 ${REDACTED}`).replace(URL_PASSWORD, `$1:${REDACTED}@`);
  }
  if (typeof value === 'bigint') return value.toString();
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '[too deep]';
  if (value instanceof Error) return redact(value.stack ?? value.message, depth);
  if (Array.isArray(value)) return value.map((item) => redact(item, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [
      name,
      SECRET_NAMES.has(name.toLowerCase()) ? REDACTED : redact(item, depth + 1),
    ]),
  );
}
