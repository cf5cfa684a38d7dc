import { Failure } from '../../errors/failure.ts';
import { readBody } from '../../http/body.ts';
import { sendFailure, sendJson } from '../../http/reply.ts';
import { formatTraceparent } from '../../observe/traceparent.ts';
import type { RequestContext, Route } from '../types.ts';
import {
  ChatBody,
  type CompletionRequest,
  CompletionBody,
  parseCompletionRequest,
} from '../completionRequest.ts';
import type { CompletionPath } from '../completionExchange.ts';
import { HttpResponseSink } from '../httpResponseSink.ts';
import { isAsyncRequest, parseRequestHeaders, type RequestHeaders } from '../requestHeaders.ts';

/** `POST /v1/completions` */
export const completions: Route = {
  method: 'POST',
  path: '/v1/completions',
  handle: (call) => complete(call, '/v1/completions', CompletionBody),
};

/** `POST /v1/chat/completions` */
export const chatCompletions: Route = {
  method: 'POST',
  path: '/v1/chat/completions',
  handle: (call) => complete(call, '/v1/chat/completions', ChatBody),
};

async function complete(
  call: RequestContext,
  path: CompletionPath,
  schema: typeof CompletionBody | typeof ChatBody,
): Promise<void> {
  const { limits } = call.host.settings;
  const headers = parseRequestHeaders(call.request.headers, limits);
  if (headers.err) {
    sendFailure(call.response, headers.val);
    return;
  }
  const arrivedAt = performance.now();
  const bytes = await readBody(call.request, {
    maxBytes: limits.bodyBytes,
    timeoutMs: limits.slowSenderMs,
  });
  if (bytes.err) {
    call.response.setHeader('connection', 'close');
    sendFailure(call.response, bytes.val);
    return;
  }
  const completion = parseCompletionRequest(bytes.val, schema);
  if (completion.err) {
    sendFailure(call.response, completion.val);
    return;
  }
  if (isAsyncRequest(call.request.headers)) startDraft(call, path, completion.val);
  else startRequest(call, path, completion.val, headers.val, arrivedAt);
}

/** Answers 202 once the draft is durable. */
function startDraft(
  call: RequestContext,
  path: CompletionPath,
  completion: CompletionRequest,
): void {
  const { id, host, key, response } = call;
  host.addDraftAcceptanceHandler(id, (failure) => {
    if (failure === undefined) {
      const location = `/v1/drafts/${id}`;
      const headers = { location, 'preference-applied': 'respond-async' };
      sendJson(response, 202, { id, object: 'draft', state: 'queued' }, headers);
    } else {
      sendFailure(response, failure);
    }
  });
  host.dispatch({
    type: 'draftArrived',
    draft: {
      id,
      firm: key.firm,
      caller: key.name,
      path,
      adapter: completion.adapter,
      version: completion.version,
      bodyHash: completion.bodyHash,
      maxTokens: completion.maxTokens,
      // The result is fetched whole, whatever the caller said about streaming.
      body: JSON.stringify({ ...completion.body, stream: undefined, stream_options: undefined }),
    },
  });
}

function startRequest(
  call: RequestContext,
  path: CompletionPath,
  completion: CompletionRequest,
  { kind, remainingMs }: RequestHeaders,
  arrivedAt: number,
): void {
  const { id, host, key, response } = call;
  const sink = HttpResponseSink.create(response, completion.isStream);
  if (response.destroyed) {
    sink.fail(Failure.create('cancelled', 'the caller closed the connection'));
    return;
  }
  host.addCompletionExchange(id, {
    path,
    body: completion.body,
    sink,
    traceparent: formatTraceparent(call.trace),
    logFields: {
      requestId: id,
      traceId: call.trace.traceId,
      firm: key.firm,
      caller: key.name,
      kind,
      model: String(completion.body.model),
    },
    arrivedAt,
  });
  response.once('close', () => {
    if (!response.writableFinished) host.dispatch({ type: 'requestCancelled', id });
  });
  host.dispatch({
    type: 'requestArrived',
    request: {
      id,
      firm: key.firm,
      caller: key.name,
      kind,
      adapter: completion.adapter,
      version: completion.version,
      deadline: arrivedAt + remainingMs,
      fingerprint: completion.bodyHash,
      maxTokens: completion.maxTokens,
      draft: undefined,
    },
  });
}
