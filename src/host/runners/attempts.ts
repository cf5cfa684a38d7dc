import type { AttemptOutcome } from '../../requests/types.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type AttemptEffect = 'startAttempt' | 'cancelAttempt' | 'failRequest' | 'finishRequest';

export const attemptRunners: EffectRunners<AttemptEffect> = {
  startAttempt: (context, { order }) => {
    const exchange = context.exchanges.get(order.id);
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
      model: order.model,
      priority: order.priority,
      deadline: order.deadline,
      onHead: () => {
        context.dispatch({ type: 'attemptProgressed', id: order.id, attempt: order.attempt });
        sink.start({ adapter, version });
      },
      onChunk: (data) => sink.write(data),
    });
    context.attempts.set(order.attempt, completion);
    void completion.ended.then((outcome) => end(context, order.id, order.attempt, outcome));
  },
  cancelAttempt: (context, { attempt }) => context.attempts.get(attempt)?.cancel(),
  failRequest: (context, { id, failure }) => {
    context.exchanges.get(id)?.sink.fail(failure);
    context.exchanges.delete(id);
  },
  finishRequest: (context, { id }) => {
    context.exchanges.get(id)?.sink.finish();
    context.exchanges.delete(id);
  },
};

function end(context: HostContext, id: string, attempt: string, outcome: AttemptOutcome): void {
  context.attempts.delete(attempt);
  context.dispatch({ type: 'attemptEnded', id, attempt, outcome });
}
