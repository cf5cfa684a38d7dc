import type { EffectRunners, HostContext } from '../context.ts';

type ExternalCallEffect =
  'callTable' | 'callObjects' | 'readEngine' | 'orderEngine' | 'readHostList';

/** Runners of the calls to the table, the object store, engines and the host list. */
export const externalCallRunners: EffectRunners<ExternalCallEffect> = {
  callTable: (context, { call, purpose }) => {
    const sentAt = performance.now();
    void context.table.call(call).then((answer) => {
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
    void context.objects.call(call).then((answer) => {
      context.dispatch({ type: 'objectAnswered', purpose, answer });
    });
  },
  readEngine: (context, { engine, address }) => {
    void readEngine(context, engine, address);
  },
  orderEngine: (context, { engine, address, epoch, order }) => {
    void context.engines.sendOrder(address, epoch, order).then((answer) => {
      context.dispatch({ type: 'orderAnswered', engine, epoch, order, answer });
    });
  },
  readHostList: (context) => {
    void context.hostList.read().then((read) => {
      if (read.ok) context.dispatch({ type: 'hostListRead', entries: read.val });
    });
  },
};

async function readEngine(context: HostContext, engine: string, address: string): Promise<void> {
  const read = await context.engines.readLoad(address);
  context.dispatch(
    read.ok
      ? { type: 'engineReported', engine, report: read.val }
      : { type: 'engineUnreachable', engine, refused: read.val.refused },
  );
}
