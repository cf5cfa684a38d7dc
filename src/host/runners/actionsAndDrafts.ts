import type { ServiceCallOutcome } from '../../actions/types.ts';
import { DraftResultSink } from '../../callers/draftResultSink.ts';
import type { CompletionPath } from '../../callers/completionExchange.ts';
import type { ServiceExchange } from '../../callers/serviceExchange.ts';
import type { HttpAnswer, HttpCall } from '../../clients/httpClient.ts';
import type { Effect } from '../../core/effects.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type DurableEffect =
  | 'callService'
  | 'answerAction'
  | 'answerDraft'
  | 'prepareDraftRequest'
  | 'dropDraftRequest'
  | 'answerDraftRead'
  | 'answerDraftList';

/** Headers of a service's answer that its caller receives, now and in a replay. */
const KEPT_HEADERS = ['content-type', 'content-language', 'location', 'etag', 'retry-after'];

export const actionAndDraftRunners: EffectRunners<DurableEffect> = {
  callService: (context, effect) => {
    const exchange = context.serviceExchanges.get(effect.id);
    if (exchange === undefined) {
      // Nothing was written, so the reducer may say so.
      context.dispatch({ type: 'serviceCallEnded', id: effect.id, answer: { type: 'notSent' } });
      return;
    }
    void callService(context, effect, exchange);
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
    const reader = context.draftReadHandlers.get(id);
    context.draftReadHandlers.delete(id);
    // Questions that no caller asked come from operators.
    if (reader === undefined) context.answerDraftRead(id, answer);
    else reader(answer);
  },
  answerDraftList: (context, { id, answer }) => context.answerDraftList(id, answer),
};

async function callService(
  context: HostContext,
  effect: Extract<Effect, { type: 'callService' }>,
  exchange: ServiceExchange,
): Promise<void> {
  const { method, target: path, headers, body } = exchange;
  const remainingMs = Math.max(1, Math.ceil(effect.deadline - performance.now()));
  const answer = await context.services.call({
    address: effect.address,
    method: method as HttpCall['method'],
    path,
    headers: { ...headers, 'x-request-deadline-ms': String(remainingMs) },
    body: body.length === 0 ? undefined : body,
    timeoutMs: remainingMs,
    mustNotRetry: !effect.isRepeatable,
  });
  context.dispatch({ type: 'serviceCallEnded', id: effect.id, answer: getServiceAnswer(answer) });
}

function getServiceAnswer(answer: HttpAnswer): ServiceCallOutcome {
  if (answer.type === 'notSent') return { type: 'notSent' };
  if (answer.type === 'lost') return { type: 'lost', reason: answer.reason };
  const headers: Record<string, string> = {};
  for (const name of KEPT_HEADERS) {
    const value = answer.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return {
    type: 'answered',
    status: answer.status,
    headers,
    // Bodies may be binary; rows of the table hold JSON.
    body: answer.body.toString('base64'),
  };
}
