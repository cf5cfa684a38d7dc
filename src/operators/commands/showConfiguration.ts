import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Returns the configuration in force on this host. */
export const showConfiguration: CommandHandler<'showConfiguration'> = (state, request) => {
  const { configuration } = state;
  return answerWithResult(state, request, {
    revision: configuration.revision,
    adapters: [...configuration.adapters.values()],
    engines: [...configuration.engines.values()],
    services: [...configuration.services.values()],
    warm: [...configuration.warmIntents.values()],
    callers: [...configuration.callerPriorities].map(([caller, priority]) => ({
      caller,
      priority,
    })),
    shares: [...configuration.shares].map(([firm, share]) => ({ firm, share })),
    leaving: [...configuration.leavingEndpoints].map((endpoint) => ({ endpoint })),
    roles: [...configuration.engineRoles].map(([engine, role]) => ({ engine, role })),
  });
};
