import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok, type Result } from 'ts-results';
import { Failure } from '../errors/failure.ts';
import { DEFAULT_REQUEST_MS, MAX_REQUEST_MS } from '../requests/constants.ts';
import type { RequestKind } from '../requests/types.ts';

export interface RequestHeaders {
  kind: RequestKind;
  /** Milliseconds from now until the deadline; negative when it has passed. */
  remainingMs: number;
}

/** Reads kind and deadline of a request from its headers; fails with `bad_request`. */
export function parseRequestHeaders(headers: IncomingHttpHeaders): Result<RequestHeaders, Failure> {
  const kind = getHeader(headers, 'x-request-kind') ?? 'ordinary';
  if (kind !== 'urgent' && kind !== 'ordinary') {
    return Err(
      Failure.create('bad_request', `header X-Request-Kind is "${kind}", allowed: urgent`, {
        param: 'X-Request-Kind',
      }),
    );
  }
  const deadline = getHeader(headers, 'x-request-deadline-ms');
  const remainingMs = deadline === undefined ? DEFAULT_REQUEST_MS : Number(deadline);
  if (!Number.isFinite(remainingMs) || deadline === '') {
    return Err(
      Failure.create(
        'bad_request',
        `header X-Request-Deadline-Ms is "${deadline ?? ''}", allowed: milliseconds until the deadline`,
        { param: 'X-Request-Deadline-Ms' },
      ),
    );
  }
  return Ok({ kind, remainingMs: Math.min(remainingMs, MAX_REQUEST_MS) });
}

/** Whether the caller asked for an asynchronous answer (RFC 7240). */
export function isAsync(headers: IncomingHttpHeaders): boolean {
  const preferences = (getHeader(headers, 'prefer') ?? '').split(',');
  return preferences.some((preference) => preference.trim().toLowerCase() === 'respond-async');
}

function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}
