import type { IncomingHttpHeaders } from 'node:http';
import { getTimeLeftMs } from '../arrivals/deadline.ts';
import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';
import type { RequestKind } from '../requests/types.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';

const DEADLINE_PATTERN = /^-?\d{1,15}(\.\d{1,15})?$/;

/** Kind and deadline of a request, as given in its headers. */
export interface RequestHeaders {
  kind: RequestKind;
  /** Milliseconds from now until the deadline; negative when it has passed. */
  remainingMs: number;
}

/**
 * Parses kind and deadline from the headers of a request, which may have waited for up to `readDelayMs`
 * before they were read. The time to the deadline defaults to `defaultRequestMs` and is at most
 * `maxRequestMs`. Fails with `bad_request`.
 */
export function parseRequestHeaders(
  headers: IncomingHttpHeaders,
  { defaultRequestMs, maxRequestMs }: EntrySettings['limits'],
  readDelayMs: number,
): Result<RequestHeaders, Failure> {
  const kind = getHeader(headers, 'x-request-kind') ?? 'ordinary';
  if (kind !== 'urgent' && kind !== 'ordinary') {
    return Err(
      Failure.create(
        'bad_request',
        `header X-Request-Kind is "${kind}", allowed: urgent or ordinary`,
        { param: 'X-Request-Kind' },
      ),
    );
  }
  const deadline = getHeader(headers, 'x-request-deadline-ms');
  const waitMs = deadline === undefined ? defaultRequestMs : Number(deadline);
  if (deadline !== undefined && !DEADLINE_PATTERN.test(deadline)) {
    return Err(
      Failure.create(
        'bad_request',
        `header X-Request-Deadline-Ms is "${deadline}", allowed: milliseconds until the deadline`,
        { param: 'X-Request-Deadline-Ms' },
      ),
    );
  }
  return Ok({ kind, remainingMs: getTimeLeftMs(Math.min(waitMs, maxRequestMs), readDelayMs) });
}

/** Whether the caller prefers an asynchronous response (`Prefer: respond-async`, RFC 7240). */
export function isAsyncRequest(headers: IncomingHttpHeaders): boolean {
  const preferences = (getHeader(headers, 'prefer') ?? '').split(',');
  return preferences.some((preference) => preference.trim().toLowerCase() === 'respond-async');
}

function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}
