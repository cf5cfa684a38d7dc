import type { CompletionExchange } from '../../callers/completionExchange.ts';
import type { AttemptOutcome } from '../../requests/types.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type AttemptEffect = 'startAttempt' | 'cancelAttempt' | 'failRequest' | 'finishRequest';

/** Runners of the effects on engine attempts and completion requests. */
export const attemptRunners: EffectRunners<AttemptEffect> = {
  startAttempt: (context, { spec }) => {
    const exchange = context.completionExchanges.get(spec.id);
    if (exchange === undefined) {
      endAttempt(context, spec.id, spec.attempt, { type: 'cancelled' });
      return;
    }
    const { path, body, sink } = exchange;
    const [adapter = '', version = ''] = spec.model.split('@');
    const completion = context.engines.startCompletion({
      address: spec.address,
      path,
      body,
      requestId: spec.attempt,
      traceparent: exchange.traceparent,
      model: spec.model,
      priority: spec.priority,
      deadline: spec.deadline,
      progressTimeoutMs: context.settings.limits.progressMs,
      onResponseStarted: () => {
        context.dispatch({ type: 'attemptResponseStarted', id: spec.id, attempt: spec.attempt });
        sink.start({ adapter, version });
      },
      onChunk: (data) => sink.write(data),
    });
    context.attempts.set(spec.attempt, completion);
    void completion.ended.then((outcome) => endAttempt(context, spec.id, spec.attempt, outcome));
  },
  cancelAttempt: (context, { attempt }) => context.attempts.get(attempt)?.cancel(),
  failRequest: (context, { id, failure }) => {
    const exchange = context.completionExchanges.get(id);
    if (exchange === undefined) return;
    exchange.sink.fail(failure);
    context.completionExchanges.delete(id);
    const { kind, message, outcome } = failure;
    logRequestEnd(context, exchange, kind, { failure: message, outcome });
  },
  finishRequest: (context, { id }) => {
    const exchange = context.completionExchanges.get(id);
    if (exchange === undefined) return;
    exchange.sink.finish();
    context.completionExchanges.delete(id);
    logRequestEnd(context, exchange, 'completed');
  },
};

function logRequestEnd(
  context: HostContext,
  { logFields, arrivedAt }: CompletionExchange,
  result: string,
  fields: Record<string, unknown> = {},
): void {
  const durationMs = Math.round(performance.now() - arrivedAt);
  context.observer.logger.write('info', 'request ended', {
    ...logFields,
    result,
    durationMs,
    ...fields,
  });
}

function endAttempt(
  context: HostContext,
  id: string,
  attempt: string,
  outcome: AttemptOutcome,
): void {
  context.attempts.delete(attempt);
  context.dispatch({ type: 'attemptEnded', id, attempt, outcome });
}
