import { isEndpointLeaving } from '../../membership/endpoints.ts';
import { getActingOwner } from '../../ownership/owner.ts';
import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists all engines of the configuration with what this host knows of them. */
export const listEngines: CommandHandler<'listEngines'> = (state, ask) => {
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
  return answerWithResult(state, ask, { engines: list });
};
