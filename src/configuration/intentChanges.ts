import type { Intent } from './intent.ts';
import type { Change, Configuration } from './types.ts';

type Section = keyof Intent;
type Entry<S extends Section> = Intent[S][number];
type Put<S extends Section> = Extract<Entry<S>, { put: unknown }>['put'];
type Absent<S extends Section> = Extract<Entry<S>, { absent: unknown }>['absent'];

interface SectionRule<S extends Section> {
  put: (entry: Put<S>) => Change;
  remove: (entry: Absent<S>) => Change;
  /** What the configuration holds for an entry; undefined when it holds none. */
  getCurrent: (configuration: Configuration, entry: Put<S> | Absent<S>) => unknown;
  /** The part of an entry that is compared with the current value. */
  getWanted: (entry: Put<S>) => unknown;
}

const RULES: { [S in Section]: SectionRule<S> } = {
  adapters: {
    put: (adapter) => ({ type: 'putAdapter', adapter }),
    remove: ({ name }) => ({ type: 'removeAdapter', name }),
    getCurrent: (c, { name }) => c.adapters.get(name),
    getWanted: (adapter) => adapter,
  },
  engines: {
    put: (engine) => ({ type: 'putEngine', engine }),
    remove: ({ id }) => ({ type: 'removeEngine', id }),
    getCurrent: (c, { id }) => c.engines.get(id),
    getWanted: (engine) => engine,
  },
  services: {
    put: (service) => ({ type: 'putService', service }),
    remove: ({ name }) => ({ type: 'removeService', name }),
    getCurrent: (c, { name }) => c.services.get(name),
    getWanted: (service) => service,
  },
  warm: {
    put: (warm) => ({ type: 'putWarm', warm }),
    remove: ({ adapter, pool }) => ({ type: 'removeWarm', adapter, pool }),
    getCurrent: (c, { adapter, pool }) => c.warmIntents.get(`${adapter}/${pool}`),
    getWanted: (warm) => warm,
  },
  callers: {
    put: ({ caller, priority }) => ({ type: 'putCallerOrder', caller, priority }),
    remove: ({ caller }) => ({ type: 'removeCallerOrder', caller }),
    getCurrent: (c, { caller }) => c.callerPriorities.get(caller),
    getWanted: ({ priority }) => priority,
  },
  shares: {
    put: ({ firm, share }) => ({ type: 'putShare', firm, share }),
    remove: ({ firm }) => ({ type: 'removeShare', firm }),
    getCurrent: (c, { firm }) => c.shares.get(firm),
    getWanted: ({ share }) => share,
  },
  leaving: {
    put: ({ endpoint }) => ({ type: 'putLeaving', endpoint }),
    remove: ({ endpoint }) => ({ type: 'removeLeaving', endpoint }),
    getCurrent: (c, { endpoint }) => (c.leavingEndpoints.has(endpoint) ? true : undefined),
    getWanted: () => true,
  },
  roles: {
    put: ({ engine, role }) => ({ type: 'putRole', engine, role }),
    remove: ({ engine }) => ({ type: 'removeRole', engine }),
    getCurrent: (c, { engine }) => c.engineRoles.get(engine),
    getWanted: ({ role }) => role,
  },
};

/** Returns the changes that bring `configuration` to `intent`; entries already in force give none. */
export function getIntentChanges(configuration: Configuration, intent: Intent): Change[] {
  return (Object.keys(RULES) as Section[]).flatMap((section) => {
    const rule = RULES[section] as SectionRule<Section>;
    return (intent[section] as Entry<Section>[]).flatMap((entry) => {
      if ('absent' in entry) {
        const current = rule.getCurrent(configuration, entry.absent);
        return current === undefined ? [] : [rule.remove(entry.absent)];
      }
      const current = rule.getCurrent(configuration, entry.put);
      const isSame = getCanonical(current) === getCanonical(rule.getWanted(entry.put));
      return isSame ? [] : [rule.put(entry.put)];
    });
  });
}

/** Returns JSON with sorted keys, so that equal values give equal text. */
function getCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) =>
    typeof item === 'object' && item !== null && !Array.isArray(item)
      ? Object.fromEntries(Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)))
      : item,
  );
}
