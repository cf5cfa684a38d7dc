import type { ServerResponse } from 'node:http';
import { type Failure, getFailureBody } from '../errors/failure.ts';
import { getErrorResponse } from '../errors/kinds.ts';

/** Sends `value` as JSON. */
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

/** Sends a failure with the status and `Retry-After` of its kind. */
export function sendFailure(response: ServerResponse, failure: Failure): void {
  const headers: Record<string, string> = {};
  if (failure.retryAfterS !== undefined) headers['retry-after'] = String(failure.retryAfterS);
  if (failure.kind === 'unauthorized') headers['www-authenticate'] = 'Bearer';
  sendJson(response, getErrorResponse(failure.kind).status, getFailureBody(failure), headers);
}
