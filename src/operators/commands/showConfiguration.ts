import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Returns the configuration in force on this host. */
export const showConfiguration: CommandHandler<'showConfiguration'> = (state, request) => {
  const { configuration: c } = state;
  return answerWithResult(state, request, {
    revision: c.revision,
    adapters: [...c.adapters.values()],
    engines: [...c.engines.values()],
    services: [...c.services.values()],
    warm: [...c.warmIntents.values()],
    callers: [...c.callerPriorities].map(([caller, priority]) => ({ caller, priority })),
    shares: [...c.shares].map(([firm, share]) => ({ firm, share })),
    leaving: [...c.leavingEndpoints].map((endpoint) => ({ endpoint })),
    roles: [...c.engineRoles].map(([engine, role]) => ({ engine, role })),
  });
};
