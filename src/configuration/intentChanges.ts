import type { Intent } from './intent.ts';
import type { Change, Configuration } from './types.ts';

type Section = keyof Intent;
type Entry<S extends Section> = Intent[S][number];
type Put<S extends Section> = Extract<Entry<S>, { put: unknown }>['put'];
type Absent<S extends Section> = Extract<Entry<S>, { absent: unknown }>['absent'];

interface SectionChanges<S extends Section> {
  put: (entry: Put<S>) => Change;
  remove: (entry: Absent<S>) => Change;
  /** Returns the current value of an entry, or undefined if there is none. */
  getCurrent: (configuration: Configuration, entry: Put<S> | Absent<S>) => unknown;
  /** Returns the part of an entry that is compared with the current value. */
  getDesired: (entry: Put<S>) => unknown;
}

const SECTION_CHANGES: { [S in Section]: SectionChanges<S> } = {
  adapters: {
    put: (adapter) => ({ type: 'putAdapter', adapter }),
    remove: ({ name }) => ({ type: 'removeAdapter', name }),
    getCurrent: (c, { name }) => c.adapters.get(name),
    getDesired: (adapter) => adapter,
  },
  engines: {
    put: (engine) => ({ type: 'putEngine', engine }),
    remove: ({ id }) => ({ type: 'removeEngine', id }),
    getCurrent: (c, { id }) => c.engines.get(id),
    getDesired: (engine) => engine,
  },
  services: {
    put: (service) => ({ type: 'putService', service }),
    remove: ({ name }) => ({ type: 'removeService', name }),
    getCurrent: (c, { name }) => c.services.get(name),
    getDesired: (service) => service,
  },
  warm: {
    put: (warm) => ({ type: 'putWarm', warm }),
    remove: ({ adapter, pool }) => ({ type: 'removeWarm', adapter, pool }),
    getCurrent: (c, { adapter, pool }) => c.warmIntents.get(`${adapter}/${pool}`),
    getDesired: (warm) => warm,
  },
  callers: {
    put: ({ caller, priority }) => ({ type: 'putCallerOrder', caller, priority }),
    remove: ({ caller }) => ({ type: 'removeCallerOrder', caller }),
    getCurrent: (c, { caller }) => c.callerPriorities.get(caller),
    getDesired: ({ priority }) => priority,
  },
  shares: {
    put: ({ firm, share }) => ({ type: 'putShare', firm, share }),
    remove: ({ firm }) => ({ type: 'removeShare', firm }),
    getCurrent: (c, { firm }) => c.shares.get(firm),
    getDesired: ({ share }) => share,
  },
  leaving: {
    put: ({ endpoint }) => ({ type: 'putLeaving', endpoint }),
    remove: ({ endpoint }) => ({ type: 'removeLeaving', endpoint }),
    getCurrent: (c, { endpoint }) => (c.leavingEndpoints.has(endpoint) ? true : undefined),
    getDesired: () => true,
  },
  roles: {
    put: ({ engine, role }) => ({ type: 'putRole', engine, role }),
    remove: ({ engine }) => ({ type: 'removeRole', engine }),
    getCurrent: (c, { engine }) => c.engineRoles.get(engine),
    getDesired: ({ role }) => role,
  },
};

/** Returns the changes that bring `configuration` to `intent`. Equal entries need no change. */
export function getIntentChanges(configuration: Configuration, intent: Intent): Change[] {
  return (Object.keys(SECTION_CHANGES) as Section[]).flatMap((section) => {
    const sectionChanges = SECTION_CHANGES[section] as SectionChanges<Section>;
    return (intent[section] as Entry<Section>[]).flatMap((entry) => {
      if ('absent' in entry) {
        const current = sectionChanges.getCurrent(configuration, entry.absent);
        return current === undefined ? [] : [sectionChanges.remove(entry.absent)];
      }
      const current = sectionChanges.getCurrent(configuration, entry.put);
      const isUnchanged =
        getCanonicalJson(current) === getCanonicalJson(sectionChanges.getDesired(entry.put));
      return isUnchanged ? [] : [sectionChanges.put(entry.put)];
    });
  });
}

/** Returns JSON with sorted keys, so that equal values have equal texts. */
function getCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) =>
    typeof item === 'object' && item !== null && !Array.isArray(item)
      ? Object.fromEntries(Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)))
      : item,
  );
}
