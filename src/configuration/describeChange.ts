import type { Adapter, Change, Configuration, Engine, ConfiguredService } from './types.ts';

type DescriptionTable = {
  [T in Change['type']]: (before: Configuration, change: Extract<Change, { type: T }>) => string;
};

const descriptions: DescriptionTable = {
  putAdapter: (before, { adapter }) => {
    const old = before.adapters.get(adapter.name);
    if (old !== undefined)
      return `change adapter ${adapter.name}: ${describeChangedFields(old, adapter)}`;
    const versions = Object.keys(adapter.versions).join(', ');
    return `add adapter ${adapter.name} of ${adapter.firm} for model ${adapter.model}: versions ${versions}; in force ${adapter.inForce}`;
  },
  removeAdapter: (_before, { name }) => `remove adapter ${name}`,
  putEngine: (before, { engine }) => {
    const old = before.engines.get(engine.id);
    if (old !== undefined)
      return `change engine ${engine.id}: ${describeChangedFields(old, engine)}`;
    return `add engine ${engine.id} at ${engine.address} in zone ${engine.zone}, pool ${engine.pool}, model ${engine.model}, ${engine.slots} slots`;
  },
  removeEngine: (_before, { id }) => `remove engine ${id}`,
  putService: (before, { service }) => {
    const old = before.services.get(service.name);
    if (old !== undefined)
      return `change service ${service.name}: ${describeChangedFields(old, service)}`;
    const endpoints = service.endpoints.map(({ id }) => id).join(', ');
    return `add service ${service.name} with endpoints ${endpoints}`;
  },
  removeService: (_before, { name }) => `remove service ${name}`,
  putWarm: (before, { warm }) => {
    const verb = before.warmIntents.has(`${warm.adapter}/${warm.pool}`) ? 'change to' : 'keep';
    const { window } = warm;
    const windowText =
      window === undefined ? '' : `, minutes ${window.fromMinute} to ${window.untilMinute} UTC`;
    return `${verb} adapter ${warm.adapter} warm in pool ${warm.pool}: ${warm.copies} copies a zone${windowText}`;
  },
  removeWarm: (_before, { adapter, pool }) =>
    `stop keeping adapter ${adapter} warm in pool ${pool}`,
  putCallerOrder: (before, { caller, priority }) =>
    `set priority of caller ${caller}: ${describeValueChange(before.callerPriorities.get(caller), priority)}`,
  removeCallerOrder: (_before, { caller }) => `reset priority of caller ${caller}`,
  putShare: (before, { firm, share }) =>
    `set share of firm ${firm}: ${describeValueChange(before.shares.get(firm), share)}`,
  removeShare: (_before, { firm }) => `remove share of firm ${firm}`,
  putLeaving: (_before, { endpoint }) => `endpoint ${endpoint} leaves`,
  removeLeaving: (_before, { endpoint }) => `endpoint ${endpoint} no longer leaves`,
  putRole: (before, { engine, role }) =>
    `set role of engine ${engine}: ${describeValueChange(before.engineRoles.get(engine), role)}`,
  removeRole: (_before, { engine }) => `reset role of engine ${engine}`,
};

/** Returns one line that describes the effect of `change` on `before`. */
export function describeChange(before: Configuration, change: Change): string {
  const handler = descriptions[change.type] as (before: Configuration, change: Change) => string;
  return handler(before, change);
}

function describeValueChange(old: number | string | undefined, value: number | string): string {
  return old === undefined ? String(value) : `${old} -> ${value}`;
}

function describeChangedFields<T extends Adapter | Engine | ConfiguredService>(
  old: T,
  value: T,
): string {
  const changed = (Object.keys(value) as (keyof T)[]).filter(
    (field) => JSON.stringify(old[field]) !== JSON.stringify(value[field]),
  );
  return changed
    .map(
      (field) =>
        `${String(field)} ${JSON.stringify(old[field])} -> ${JSON.stringify(value[field])}`,
    )
    .join(', ');
}
