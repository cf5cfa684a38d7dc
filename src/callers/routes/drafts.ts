import type { DraftReadAnswer, DraftSummary } from '../../drafts/types.ts';
import { Failure } from '../../errors/failure.ts';
import { isErrorKind } from '../../errors/kinds.ts';
import { sendFailure, sendJson } from '../../http/reply.ts';
import type { RequestContext, Route } from '../types.ts';

/** `Retry-After` in seconds of a draft that has not ended. */
const RETRY_AFTER_S = '1';

/** `GET /v1/drafts/ID`: 202 while the draft is queued or runs, then its completion or failure. */
export const readDraft: Route = {
  method: 'GET',
  path: '/v1/drafts/:draft',
  handle: (context) => {
    context.host.addDraftReadHandler(context.id, (answer) => sendDraftAnswer(context, answer));
    context.host.dispatch({ type: 'draftReadRequested', ...newDraftCommand(context) });
  },
};

/** `DELETE /v1/drafts/ID` */
export const deleteDraft: Route = {
  method: 'DELETE',
  path: '/v1/drafts/:draft',
  handle: (context) => {
    context.host.addDraftReadHandler(context.id, (answer) => sendDraftAnswer(context, answer));
    context.host.dispatch({ type: 'draftDeleteRequested', ...newDraftCommand(context) });
  },
};

function newDraftCommand({ id, params, key }: RequestContext) {
  return { id, draft: params.draft ?? '', firm: key.firm, caller: key.name };
}

function sendDraftAnswer({ response }: RequestContext, answer: DraftReadAnswer): void {
  if (answer.type === 'failed') {
    sendFailure(response, answer.failure);
  } else if (answer.type === 'found') {
    sendFoundDraft(response, answer.draft, answer.result);
  } else {
    sendJson(response, 200, { object: 'draft', state: answer.type });
  }
}

function sendFoundDraft(
  response: RequestContext['response'],
  draft: DraftSummary,
  result: string | undefined,
): void {
  if (draft.state === 'done' && result !== undefined) {
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(result),
      'x-adapter': draft.adapter,
      'x-adapter-version': draft.version,
    });
    response.end(result);
    return;
  }
  if (draft.state === 'failed' && draft.failure !== undefined) {
    const { kind, message } = draft.failure;
    sendFailure(response, Failure.create(isErrorKind(kind) ? kind : 'internal', message));
    return;
  }
  const { id, adapter, version, state, attempts } = draft;
  const body = { id, object: 'draft', model: `${adapter}@${version}`, state, attempts };
  sendJson(response, 202, body, { 'retry-after': RETRY_AFTER_S });
}
