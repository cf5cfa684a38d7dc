import type { ServerResponse } from 'node:http';
import { type Failure, getFailureBody } from '../errors/failure.ts';
import { getErrorResponse } from '../errors/kinds.ts';

/** Sends `value` as JSON; does nothing if the response was started or closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/**
 * Sends the error response of a failure, with `Retry-After` if the failure has one; does nothing if the
 * response was started or closed.
 */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  extraHeaders: Record<string, string> = {},
): void {
  const headers = { ...extraHeaders };
  if (failure.retryAfterS !== undefined) headers['retry-after'] = String(failure.retryAfterS);
  if (failure.kind === 'unauthorized') headers['www-authenticate'] = 'Bearer';
  sendJson(response, getErrorResponse(failure.kind).status, getFailureBody(failure), headers);
}
