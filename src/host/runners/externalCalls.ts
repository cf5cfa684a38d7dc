import { catchRejection } from '../../base/rejection.ts';
import { Err } from '../../base/result.ts';
import type { EffectRunners, HostContext } from '../context.ts';

type ExternalCallEffect =
  'callTable' | 'callObjects' | 'readEngine' | 'orderEngine' | 'readHostList';

/** Runners of the calls to the table, the object store, engines and the host list. */
export const externalCallRunners: EffectRunners<ExternalCallEffect> = {
  callTable: (context, { call, purpose }) => {
    const sentAt = performance.now();
    const tableCall = catchRejection(context.table.call(call), newUnknownAnswer);
    void tableCall.then((answer) => {
      context.observer.observe({
        type: 'count',
        metric: 'fireflywick_table_calls_total',
        labels: { purpose: purpose.type, answer: answer.type },
        by: 1,
      });
      context.dispatch({ type: 'tableAnswered', purpose, answer, sentAt });
    });
  },
  callObjects: (context, { call, purpose }) => {
    const objectCall = catchRejection(context.objects.call(call), newUnknownAnswer);
    void objectCall.then((answer) => {
      context.dispatch({ type: 'objectAnswered', purpose, answer });
    });
  },
  readEngine: (context, { engine, address }) => {
    void readEngine(context, engine, address);
  },
  orderEngine: (context, { engine, address, epoch, order }) => {
    const sent = context.engines.sendOrder(address, epoch, order);
    void catchRejection(sent, newUnknownAnswer).then((answer) => {
      context.dispatch({ type: 'orderAnswered', engine, epoch, order, answer });
    });
  },
  readHostList: (context) => {
    void catchRejection(context.hostList.read(), Err).then((read) => {
      if (read.ok) context.dispatch({ type: 'hostListRead', entries: read.val });
    });
  },
};

/** Returns the answer of a call that failed on this host: it may have taken effect. */
function newUnknownAnswer(reason: string): { type: 'unknown'; reason: string } {
  return { type: 'unknown', reason };
}

async function readEngine(context: HostContext, engine: string, address: string): Promise<void> {
  const read = await catchRejection(context.engines.readLoad(address), (reason) =>
    Err({ refused: false, reason }),
  );
  context.dispatch(
    read.ok
      ? { type: 'engineReported', engine, report: read.val }
      : { type: 'engineUnreachable', engine, refused: read.val.refused },
  );
}
