import type { IncomingHttpHeaders } from 'node:http';
import type { ActionAnswer } from '../../actions/types.ts';
import { sha256 } from '../../base/hash.ts';
import { Failure } from '../../errors/failure.ts';
import { readBody } from '../../http/body.ts';
import { sendFailure } from '../../http/reply.ts';
import { formatTraceparent } from '../../observe/traceparent.ts';
import type { RequestContext, Route } from '../types.ts';
import { parseRequestHeaders } from '../requestHeaders.ts';
import { parseServiceTarget } from '../serviceTarget.ts';

/** Headers of the caller that a service receives. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'idempotency-key'];
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
/** Answers that HTTP allows no `Content-Length` of (RFC 9110, 8.6). */
const STATUSES_WITHOUT_LENGTH = new Set([204, 304]);

/** `ANY /services/NAME/...`: a call of a plain service. */
export const services: Route = {
  method: METHODS,
  path: '/services/:service/*',
  handle: (call) => callService(call),
};

/** `ANY /services/NAME`: the root of a service, with or without a slash. */
export const serviceRoot: Route = { ...services, path: '/services/:service' };

async function callService(call: RequestContext): Promise<void> {
  const { id, request, response, host, key, params } = call;
  const { limits } = host.settings;
  const headers = parseRequestHeaders(request.headers, limits);
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
  if (idempotencyKey !== undefined && !KEY_PATTERN.test(String(idempotencyKey))) {
    const message = 'header Idempotency-Key must be 1 to 255 printable ASCII characters';
    sendFailure(response, Failure.create('bad_request', message, { param: 'Idempotency-Key' }));
    return;
  }
  const arrivedAt = performance.now();
  const body = await readBody(request, {
    maxBytes: limits.bodyBytes,
    timeoutMs: limits.slowSenderMs,
  });
  if (body.err) {
    response.setHeader('connection', 'close');
    sendFailure(response, body.val);
    return;
  }
  const method = request.method ?? 'GET';
  const { path, query } = target.val;
  host.addServiceExchange(id, {
    method,
    target: path + query,
    headers: {
      ...getForwarded(request.headers),
      'x-request-id': id,
      traceparent: formatTraceparent(call.trace),
    },
    body: body.val,
    onAnswer: (answer) => sendAnswer(call, answer),
  });
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
      deadline: arrivedAt + headers.val.remainingMs,
    },
  });
}

function getForwarded(headers: IncomingHttpHeaders): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}

function sendAnswer({ request, response }: RequestContext, answer: ActionAnswer): void {
  if (response.destroyed) return;
  if (answer.type === 'failed') {
    sendFailure(response, answer.failure);
    return;
  }
  const body = Buffer.from(answer.body, 'base64');
  const replayed = answer.isReplay ? { 'idempotency-replayed': 'true' } : {};
  // The body of an answer to HEAD is not known here, so neither is its length.
  const hasLength = request.method !== 'HEAD' && !STATUSES_WITHOUT_LENGTH.has(answer.status);
  response.writeHead(answer.status, {
    ...answer.headers,
    ...replayed,
    ...(hasLength ? { 'content-length': body.length } : {}),
  });
  response.end(body);
}
