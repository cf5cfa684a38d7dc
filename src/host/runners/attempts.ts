import type { CompletionExchange } from '../../callers/completionExchange.ts';
import type { AttemptOutcome } from '../../requests/types.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type AttemptEffect = 'startAttempt' | 'cancelAttempt' | 'failRequest' | 'finishRequest';

export const attemptRunners: EffectRunners<AttemptEffect> = {
  startAttempt: (context, { spec: order }) => {
    const exchange = context.completionExchanges.get(order.id);
    if (exchange === undefined) {
      end(context, order.id, order.attempt, { type: 'cancelled' });
      return;
    }
    const { path, body, sink } = exchange;
    const [adapter = '', version = ''] = order.model.split('@');
    const completion = context.engines.startCompletion({
      address: order.address,
      path,
      body,
      requestId: order.attempt,
      traceparent: exchange.traceparent,
      model: order.model,
      priority: order.priority,
      deadline: order.deadline,
      progressTimeoutMs: context.settings.limits.progressMs,
      onResponseStarted: () => {
        context.dispatch({ type: 'attemptResponseStarted', id: order.id, attempt: order.attempt });
        sink.start({ adapter, version });
      },
      onChunk: (data) => sink.write(data),
    });
    context.attempts.set(order.attempt, completion);
    void completion.ended.then((outcome) => end(context, order.id, order.attempt, outcome));
  },
  cancelAttempt: (context, { attempt }) => context.attempts.get(attempt)?.cancel(),
  failRequest: (context, { id, failure }) => {
    const exchange = takeExchange(context, id);
    if (exchange === undefined) return;
    exchange.sink.fail(failure);
    const { kind, message, outcome } = failure;
    logEnd(context, exchange, kind, { failure: message, outcome });
  },
  finishRequest: (context, { id }) => {
    const exchange = takeExchange(context, id);
    if (exchange === undefined) return;
    exchange.sink.finish();
    logEnd(context, exchange, 'completed');
  },
};

function takeExchange(context: HostContext, id: string): CompletionExchange | undefined {
  const exchange = context.completionExchanges.get(id);
  context.completionExchanges.delete(id);
  return exchange;
}

function logEnd(
  context: HostContext,
  { logFields: log, arrivedAt }: CompletionExchange,
  result: string,
  fields: Record<string, unknown> = {},
): void {
  const durationMs = Math.round(performance.now() - arrivedAt);
  context.observer.logger.write('info', 'request ended', { ...log, result, durationMs, ...fields });
}

function end(context: HostContext, id: string, attempt: string, outcome: AttemptOutcome): void {
  context.attempts.delete(attempt);
  context.dispatch({ type: 'attemptEnded', id, attempt, outcome });
}
