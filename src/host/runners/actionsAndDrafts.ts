import type { ServiceCallOutcome } from '../../actions/types.ts';
import { catchRejection } from '../../base/rejection.ts';
import { DraftResultSink } from '../../callers/draftResultSink.ts';
import type { CompletionPath } from '../../callers/completionExchange.ts';
import type { ServiceExchange } from '../../callers/serviceExchange.ts';
import type { HttpAnswer, HttpCall } from '../../clients/httpClient.ts';
import type { Effect } from '../../core/effects.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type ActionOrDraftEffect =
  | 'callService'
  | 'cancelServiceCall'
  | 'answerAction'
  | 'answerDraft'
  | 'prepareDraftRequest'
  | 'dropDraftRequest'
  | 'answerDraftRead'
  | 'answerDraftList';

/** Headers of a service's response that are passed on to the caller and stored for replays. */
const PASSED_ON_HEADERS = ['content-type', 'content-language', 'location', 'etag', 'retry-after'];

/** Runners of the effects of actions and drafts. */
export const actionAndDraftRunners: EffectRunners<ActionOrDraftEffect> = {
  callService: (context, effect) => {
    const exchange = context.serviceExchanges.get(effect.id);
    if (exchange === undefined) {
      // Nothing was sent, so the reducer may report that the service did not run the call.
      context.dispatch({ type: 'serviceCallEnded', id: effect.id, answer: { type: 'notSent' } });
      return;
    }
    void callService(context, effect, exchange);
  },
  cancelServiceCall: (context, { id }) => {
    context.serviceCalls.get(id)?.abort(new Error('cancelled'));
    context.serviceExchanges.delete(id);
  },
  answerAction: (context, { id, answer }) => {
    context.serviceExchanges.get(id)?.onAnswer(answer);
    context.serviceExchanges.delete(id);
  },
  answerDraft: (context, { id, answer }) => {
    context.draftAcceptanceHandlers.get(id)?.(
      answer.type === 'failed' ? answer.failure : undefined,
    );
    context.draftAcceptanceHandlers.delete(id);
  },
  prepareDraftRequest: (context, { id, draft, path, body }) => {
    context.completionExchanges.set(id, {
      path: path as CompletionPath,
      body: JSON.parse(body) as Record<string, unknown>,
      sink: DraftResultSink.create(draft, (event) => context.dispatch(event)),
      traceparent: undefined,
      logFields: { requestId: id, draft, kind: 'draft' },
      arrivedAt: performance.now(),
    });
  },
  dropDraftRequest: (context, { id }) => void context.completionExchanges.delete(id),
  answerDraftRead: (context, { id, answer }) => {
    const handler = context.draftReadHandlers.get(id);
    // Reads without a handler of a caller come from operators.
    if (handler === undefined) context.answerDraftRead(id, answer);
    else handler(answer);
    context.draftReadHandlers.delete(id);
  },
  answerDraftList: (context, { id, answer }) => context.answerDraftList(id, answer),
};

async function callService(
  context: HostContext,
  effect: Extract<Effect, { type: 'callService' }>,
  exchange: ServiceExchange,
): Promise<void> {
  const { method, target, headers, body } = exchange;
  const remainingMs = Math.max(1, Math.ceil(effect.deadline - performance.now()));
  const abort = new AbortController();
  context.serviceCalls.set(effect.id, abort);
  const call = context.services.call({
    address: effect.address,
    method: method as HttpCall['method'],
    path: target,
    headers: { ...headers, 'x-request-deadline-ms': String(remainingMs) },
    body: body.length === 0 ? undefined : body,
    timeoutMs: remainingMs,
    mustNotRetry: !effect.isRepeatable,
    signal: abort.signal,
  });
  const answer = await catchRejection<HttpAnswer>(call, (reason) => ({ type: 'lost', reason }));
  if (context.serviceCalls.get(effect.id) === abort) context.serviceCalls.delete(effect.id);
  context.dispatch({
    type: 'serviceCallEnded',
    id: effect.id,
    answer: newServiceCallOutcome(answer),
  });
}

function newServiceCallOutcome(answer: HttpAnswer): ServiceCallOutcome {
  if (answer.type === 'notSent') return { type: 'notSent' };
  if (answer.type === 'lost') return { type: 'lost', reason: answer.reason };
  const headers: Record<string, string> = {};
  for (const name of PASSED_ON_HEADERS) {
    const value = answer.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return {
    type: 'answered',
    status: answer.status,
    headers,
    // Base64, because bodies may be binary and table rows hold JSON.
    body: answer.body.toString('base64'),
  };
}
