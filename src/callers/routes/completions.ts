import { hasCallerLeft, onCallerLeft } from '../../http/callerDeparture.ts';
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
  handle: (context) => handleCompletion(context, '/v1/completions', CompletionBody),
};

/** `POST /v1/chat/completions` */
export const chatCompletions: Route = {
  method: 'POST',
  path: '/v1/chat/completions',
  handle: (context) => handleCompletion(context, '/v1/chat/completions', ChatBody),
};

async function handleCompletion(
  context: RequestContext,
  path: CompletionPath,
  schema: typeof CompletionBody | typeof ChatBody,
): Promise<void> {
  const { limits } = context.host.settings;
  const { request, response, reading } = context;
  const headers = parseRequestHeaders(request.headers, limits, reading.delayMs);
  if (headers.err) {
    sendFailure(response, headers.val);
    return;
  }
  const bytes = await context.readBody();
  if (bytes.err) {
    sendFailure(response, bytes.val, { connection: 'close' });
    return;
  }
  const completion = parseCompletionRequest(bytes.val, schema);
  if (completion.err) {
    sendFailure(response, completion.val);
    return;
  }
  if (hasCallerLeft(request, response)) return;
  if (!context.host.memory.admit(response, bytes.val.length)) return;
  if (isAsyncRequest(request.headers)) startDraft(context, path, completion.val);
  else startRequest(context, path, completion.val, headers.val, reading.at);
}

/** Submits the request as a draft and answers 202 once the draft is durable. */
function startDraft(
  context: RequestContext,
  path: CompletionPath,
  completion: CompletionRequest,
): void {
  const { id, host, key, response } = context;
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
      // The result is read as one body, even if the caller asked for a stream.
      body: JSON.stringify({ ...completion.body, stream: undefined, stream_options: undefined }),
    },
  });
}

/** Submits the request and responds as its completion arrives. */
function startRequest(
  context: RequestContext,
  path: CompletionPath,
  completion: CompletionRequest,
  { kind, remainingMs }: RequestHeaders,
  arrivedAt: number,
): void {
  const { id, host, key, request, response } = context;
  const sink = HttpResponseSink.create(response, completion.isStream);
  host.addCompletionExchange(id, {
    path,
    body: completion.body,
    sink,
    traceparent: formatTraceparent(context.trace),
    logFields: {
      requestId: id,
      traceId: context.trace.traceId,
      firm: key.firm,
      caller: key.name,
      kind,
      model: String(completion.body.model),
    },
    arrivedAt,
  });
  onCallerLeft(request, response, () => host.dispatch({ type: 'requestCancelled', id }));
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
