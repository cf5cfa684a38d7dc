import type { DraftReadAnswer, DraftSummary } from '../../drafts/types.ts';
import { Failure } from '../../errors/failure.ts';
import { isErrorKind } from '../../errors/kinds.ts';
import { sendFailure, sendJson } from '../../http/reply.ts';
import type { RequestContext, Route } from '../types.ts';

/** Seconds after which a caller should ask for an unfinished draft again. */
const POLL_AFTER_S = '1';

/** `GET /v1/drafts/ID`: 202 while the draft is not finished, then its completion. */
export const readDraft: Route = {
  method: 'GET',
  path: '/v1/drafts/:draft',
  handle: (call) => {
    call.host.addDraftReadHandler(call.id, (answer) => sendDraft(call, answer));
    call.host.dispatch({ type: 'draftReadRequested', ...getAsk(call) });
  },
};

/** `DELETE /v1/drafts/ID` */
export const deleteDraft: Route = {
  method: 'DELETE',
  path: '/v1/drafts/:draft',
  handle: (call) => {
    call.host.addDraftReadHandler(call.id, (answer) => sendDraft(call, answer));
    call.host.dispatch({ type: 'draftDeleteRequested', ...getAsk(call) });
  },
};

function getAsk({ id, params, key }: RequestContext) {
  return { id, draft: params.draft ?? '', firm: key.firm, caller: key.name };
}

function sendDraft({ response }: RequestContext, answer: DraftReadAnswer): void {
  if (answer.type === 'failed') {
    sendFailure(response, answer.failure);
  } else if (answer.type === 'found') {
    sendFound(response, answer.draft, answer.result);
  } else {
    sendJson(response, 200, { object: 'draft', state: answer.type });
  }
}

function sendFound(
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
  sendJson(response, 202, body, { 'retry-after': POLL_AFTER_S });
}
