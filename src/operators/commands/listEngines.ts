import { isEndpointLeaving } from '../../membership/endpoints.ts';
import { getActingOwner } from '../../ownership/owner.ts';
import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists the engines of the configuration with their state as known on this host. */
export const listEngines: CommandHandler<'listEngines'> = (state, request) => {
  const { configuration, engines } = state;
  const list = [...configuration.engines.values()].map((engine) => {
    const view = engines.views.get(engine.id);
    return {
      ...engine,
      owner: getActingOwner(state, engine.id)?.host ?? null,
      isLeaving: isEndpointLeaving(state, engine.id),
      role: configuration.engineRoles.get(engine.id) ?? 'mixed',
      state: view?.state ?? 'unknown',
      residents: [...(view?.residents ?? [])],
      running: view?.running ?? 0,
      waiting: view?.waiting ?? 0,
    };
  });
  return answerWithResult(state, request, { engines: list });
};
