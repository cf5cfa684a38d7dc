import type { Failure } from '../errors/failure.ts';
import type { HostContext } from './context.ts';
import { describeError } from './processErrors.ts';

/** Gives a request of any kind its final answer after an error on this host; never throws. */
export function abandonRequest(context: HostContext, id: string, failure: Failure): void {
  try {
    context.completionExchanges.get(id)?.sink.fail(failure);
    context.serviceExchanges.get(id)?.onAnswer({ type: 'failed', failure });
    context.draftAcceptanceHandlers.get(id)?.(failure);
    context.draftReadHandlers.get(id)?.({ type: 'failed', failure });
    context.answerOperator(id, { type: 'refused', failure, details: [] });
  } catch (error) {
    const fields = { requestId: id, reason: describeError(error) };
    context.observer.logger.write('error', 'request could not be answered', fields);
  }
  context.completionExchanges.delete(id);
  context.serviceExchanges.delete(id);
  context.draftAcceptanceHandlers.delete(id);
  context.draftReadHandlers.delete(id);
}
