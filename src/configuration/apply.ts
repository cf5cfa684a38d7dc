import type { Change, Configuration, Revision } from './types.ts';

type ChangeTable = {
  [T in Change['type']]: (
    configuration: Configuration,
    change: Extract<Change, { type: T }>,
  ) => void;
};

const changeHandlers: ChangeTable = {
  putAdapter: (c, { adapter }) => c.adapters.set(adapter.name, adapter),
  removeAdapter: (c, { name }) => c.adapters.delete(name),
  putEngine: (c, { engine }) => c.engines.set(engine.id, engine),
  removeEngine: (c, { id }) => c.engines.delete(id),
  putService: (c, { service }) => c.services.set(service.name, service),
  removeService: (c, { name }) => c.services.delete(name),
  putWarm: (c, { warm }) => c.warmIntents.set(`${warm.adapter}/${warm.pool}`, warm),
  removeWarm: (c, { adapter, pool }) => c.warmIntents.delete(`${adapter}/${pool}`),
  putCallerOrder: (c, { caller, priority }) => c.callerPriorities.set(caller, priority),
  removeCallerOrder: (c, { caller }) => c.callerPriorities.delete(caller),
  putShare: (c, { firm, share }) => c.shares.set(firm, share),
  removeShare: (c, { firm }) => c.shares.delete(firm),
  putLeaving: (c, { endpoint }) => c.leavingEndpoints.add(endpoint),
  removeLeaving: (c, { endpoint }) => c.leavingEndpoints.delete(endpoint),
  putRole: (c, { engine, role }) => c.engineRoles.set(engine, role),
  removeRole: (c, { engine }) => c.engineRoles.delete(engine),
};

/** Applies one change in place. */
export function applyChange(configuration: Configuration, change: Change): void {
  const handler = changeHandlers[change.type] as (c: Configuration, change: Change) => void;
  handler(configuration, change);
}

/**
 * Applies `revision` if it directly follows the current one. Returns false and changes nothing
 * otherwise, so that a configuration never goes back and never skips a revision.
 */
export function applyRevision(configuration: Configuration, revision: Revision): boolean {
  if (revision.revision !== configuration.revision + 1) return false;
  for (const change of revision.changes) applyChange(configuration, change);
  configuration.revision = revision.revision;
  return true;
}
