import { newMalformed } from '../notices/malformed.ts';
import type { NamedPause } from '../notices/types.ts';

/** Without a limit on the digits, since a long time is bounded where it is used. */
const SECONDS = /^\d+(\.\d+)?$/;
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/** Statuses by which a server turns a request away; other answers with `Retry-After` name no time. */
const TURNED_AWAY = new Set([429, 503]);

/**
 * Reads `Retry-After` of an answer with `status`: seconds, also with a fraction, or a date. Of several
 * values the longest holds. A date counts from the date of the answer, `date`, since the clock of this
 * host may differ.
 */
export function readRetryAfter(
  status: number,
  value: string | undefined,
  date: string | undefined,
): NamedPause {
  if (value === undefined || !TURNED_AWAY.has(status)) return { type: 'none' };
  const seconds = value.split(',').map((part) => part.trim());
  if (seconds.every((each) => SECONDS.test(each)))
    return newPause(Math.max(...seconds.map(Number)) * 1_000);
  const isDated = HTTP_DATE.test(value) && HTTP_DATE.test(date ?? '');
  const ms = isDated ? Date.parse(value) - Date.parse(date ?? '') : NaN;
  return Number.isNaN(ms) ? newMalformed(value) : newPause(ms);
}

function newPause(ms: number): NamedPause {
  return { type: 'pause', ms: Math.min(Math.max(0, ms), Number.MAX_SAFE_INTEGER) };
}
