import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { rerouteFromEngine } from '../forwards/rerouting.ts';
import { markEndpointRemoved, applyRegistration } from '../fleet/registration.ts';
import { adoptMembersRow } from '../owners/members.ts';
import { applyAdapterVersion, updateOwnedEngines } from '../residency/ownedEngines.ts';
import { newRouteIndex } from '../routes/match.ts';
import { EXPIRY_GRACE_MS, MAX_REMOVAL_DEFERRAL_MS } from './constants.ts';
import type { DirectoryChange, DirectoryContent, Topic } from './types.ts';

type Appliers = {
  [T in DirectoryContent['type']]: (
    state: State,
    content: Extract<DirectoryContent, { type: T }>,
    change: DirectoryChange,
    now: number,
  ) => Effect[];
};

const appliers: Appliers = {
  routing: (state, { table }) => {
    const known = state.routes.current;
    if (known !== undefined && table.version <= known.table.version) return [];
    state.routes.current = newRouteIndex(table);
    const { version, routes, services } = table;
    return [
      newLog('info', 'routing table in force', {
        version,
        before: known?.table.version ?? 0,
        routes: routes.length,
        services: services.length,
      }),
    ];
  },
  adapterVersion: (state, { adapter, version }, _change, now) =>
    applyAdapterVersion(state, adapter, version, now),
  endpoint: (state, { endpoint }, _change, now) => {
    state.directory.deferredRemovals.delete(endpoint.id);
    const wasLeaving = state.fleet.views.get(endpoint.id)?.endpoint.isLeaving === true;
    if (!applyRegistration(state.fleet, endpoint)) return [];
    const effects = updateOwnedEngines(state, now);
    if (!endpoint.isLeaving || wasLeaving) return effects;
    const { id, service, remainingMs } = endpoint;
    return [
      newLog('info', 'endpoint is leaving', { endpoint: id, service, remainingMs }),
      ...effects,
    ];
  },
  members: (state, { row }, { version }, now) => adoptMembersRow(state, row, version, now),
  removed: (state, _content, change, now) => {
    if (!state.fleet.views.has(change.key)) return [];
    if (!isLapseLikely(state, now)) return dropEndpoint(state, change.key, now);
    state.directory.deferredRemovals.set(change.key, {
      change,
      until: getDeferredUntil(state, now),
    });
    schedule(state, getDeferredUntil(state, now), { type: 'applyDeferredRemovals' });
    return [];
  },
  malformed: (_state, { reason }, { key, version }) => [
    newLog('warn', 'directory entry is malformed', { key, version, reason }),
  ],
};

/** Takes up the changes that are newer than what is known of their keys. */
export function applyChanges(
  state: State,
  topic: Topic,
  changes: DirectoryChange[],
  now: number,
): Effect[] {
  const { entries } = state.directory.topics[topic];
  return changes.flatMap((change) => {
    const known = entries.get(change.key);
    if (known !== undefined && known.version >= change.version) return [];
    entries.set(change.key, change);
    return apply(state, change, now);
  });
}

/** Takes up all entries of a topic as of `version`; a known key that is missing was removed. */
export function applySnapshot(
  state: State,
  topic: Topic,
  changes: DirectoryChange[],
  version: number,
  now: number,
): Effect[] {
  const { entries } = state.directory.topics[topic];
  const present = new Set(changes.map(({ key }) => key));
  const removed = [...entries.values()]
    .filter((known) => !present.has(known.key) && known.version <= version)
    .filter(({ content }) => content.type !== 'removed')
    .map(({ key }): DirectoryChange => ({ key, version, content: { type: 'removed' } }));
  return applyChanges(state, topic, [...changes, ...removed], now);
}

/** Takes up the removals that waited for the directory to be back for a while. */
export function applyDeferredRemovals(state: State, now: number): Effect[] {
  const due = [...state.directory.deferredRemovals.values()].filter(({ until }) => until <= now);
  return due.flatMap(({ change }) => {
    state.directory.deferredRemovals.delete(change.key);
    return dropEndpoint(state, change.key, now);
  });
}

function apply(state: State, change: DirectoryChange, now: number): Effect[] {
  const applier = appliers[change.content.type] as (
    state: State,
    content: DirectoryContent,
    change: DirectoryChange,
    now: number,
  ) => Effect[];
  return applier(state, change.content, change, now);
}

/** Takes an endpoint out of use: its asks are refused and those of this host go elsewhere. */
export function dropEndpoint(state: State, id: string, now: number): Effect[] {
  markEndpointRemoved(state.fleet, id);
  return [
    newLog('info', 'endpoint was removed', { endpoint: id }),
    ...updateOwnedEngines(state, now),
    ...rerouteFromEngine(state, id, now),
  ];
}

/** Returns until when a removed endpoint stays in use: it may leave for good as well. */
function getDeferredUntil({ directory }: State, now: number): number {
  const { unavailableSince: lostAt, recoveredAt: regainedAt } = directory.topics.endpoints;
  const longest = now + MAX_REMOVAL_DEFERRAL_MS;
  return lostAt === undefined ? Math.min(longest, regainedAt + EXPIRY_GRACE_MS) : longest;
}

/** Whether the directory is away or came back just now, so that live entries may have lapsed. */
function isLapseLikely({ directory }: State, now: number): boolean {
  const { unavailableSince: lostAt, recoveredAt: regainedAt } = directory.topics.endpoints;
  return lostAt !== undefined || regainedAt + EXPIRY_GRACE_MS > now;
}
