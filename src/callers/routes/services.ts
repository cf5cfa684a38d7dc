import type { IncomingHttpHeaders } from 'node:http';
import type { ActionAnswer } from '../../actions/types.ts';
import { sha256 } from '../../base/hash.ts';
import { Failure } from '../../errors/failure.ts';
import { hasCallerLeft, onCallerLeft } from '../../http/callerDeparture.ts';
import { sendFailure } from '../../http/reply.ts';
import { formatTraceparent } from '../../observe/traceparent.ts';
import type { RequestContext, Route } from '../types.ts';
import { parseRequestHeaders } from '../requestHeaders.ts';
import { parseServiceTarget } from '../serviceTarget.ts';

/** Request headers that are forwarded to the service. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'idempotency-key'];
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

const SERVICE_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
/** Statuses of responses without `Content-Length` (RFC 9110, 8.6). */
const STATUSES_WITHOUT_LENGTH = new Set([204, 304]);

/** `ANY /services/NAME/...`: a call to a plain service. */
export const services: Route = {
  method: SERVICE_METHODS,
  path: '/services/:service/*',
  handle: (context) => callService(context),
};

/** `ANY /services/NAME`: a call to the root path of a service, with or without trailing slash. */
export const serviceRoot: Route = { ...services, path: '/services/:service' };

async function callService(context: RequestContext): Promise<void> {
  const { id, request, response, reading, host, key, params } = context;
  const { limits } = host.settings;
  const headers = parseRequestHeaders(request.headers, limits, reading.delayMs);
  if (headers.err) {
    sendFailure(response, headers.val);
    return;
  }
  const target = parseServiceTarget(request.url ?? '');
  if (target.err) {
    sendFailure(response, target.val);
    return;
  }
  const idempotencyKey = request.headers['idempotency-key'];
  if (idempotencyKey !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(String(idempotencyKey))) {
    const message = 'header Idempotency-Key must be 1 to 255 printable ASCII characters';
    sendFailure(response, Failure.create('bad_request', message, { param: 'Idempotency-Key' }));
    return;
  }
  const body = await context.readBody();
  if (body.err) {
    sendFailure(response, body.val, { connection: 'close' });
    return;
  }
  if (hasCallerLeft(request, response)) return;
  if (!host.memory.admit(response, body.val.length)) return;
  const method = request.method ?? 'GET';
  const { path, query } = target.val;
  host.addServiceExchange(id, {
    method,
    target: path + query,
    headers: {
      ...getForwardedHeaders(request.headers),
      'x-request-id': id,
      traceparent: formatTraceparent(context.trace),
    },
    body: body.val,
    onAnswer: (answer) => sendAnswer(context, answer),
  });
  onCallerLeft(request, response, () => host.dispatch({ type: 'actionCancelled', id }));
  host.dispatch({
    type: 'actionArrived',
    action: {
      id,
      firm: key.firm,
      caller: key.name,
      service: params.service ?? '',
      method,
      path,
      idempotencyKey: idempotencyKey === undefined ? undefined : String(idempotencyKey),
      bodyHash: sha256(Buffer.concat([Buffer.from(`${path}${query}\n`), body.val])),
      deadline: reading.at + headers.val.remainingMs,
    },
  });
}

function getForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}

function sendAnswer({ request, response, host }: RequestContext, answer: ActionAnswer): void {
  if (response.destroyed) return;
  if (answer.type === 'failed') {
    sendFailure(response, answer.failure);
    return;
  }
  const body = Buffer.from(answer.body, 'base64');
  const replayed = answer.isReplay ? { 'idempotency-replayed': 'true' } : {};
  // A response to HEAD has no body, so the length that GET would return is unknown.
  const hasLength = request.method !== 'HEAD' && !STATUSES_WITHOUT_LENGTH.has(answer.status);
  response.writeHead(answer.status, {
    ...answer.headers,
    ...replayed,
    ...(hasLength ? { 'content-length': body.length } : {}),
  });
  response.end(body);
  host.memory.holdAnswer(response, body.length);
}
