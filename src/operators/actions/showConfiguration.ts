import { answerDone, type OperatorAction } from '../answer.ts';

export const showConfiguration: OperatorAction<'showConfiguration'> = (state, ask) => {
  const { configuration: c } = state;
  return answerDone(state, ask, {
    revision: c.revision,
    adapters: [...c.adapters.values()],
    engines: [...c.engines.values()],
    services: [...c.services.values()],
    warm: [...c.warm.values()],
    callers: [...c.callerOrder].map(([caller, priority]) => ({ caller, priority })),
    shares: [...c.shares].map(([firm, share]) => ({ firm, share })),
    leaving: [...c.leaving].map((endpoint) => ({ endpoint })),
    roles: [...c.roles].map(([engine, role]) => ({ engine, role })),
  });
};
