import type { Effect } from '../core/effects.ts';
import { newGauge, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { countCrashesOfEndpoint } from '../forwards/crashEvidence.ts';
import { markRestartedAttempts } from '../forwards/endpointRestarts.ts';
import type { Endpoint } from '../fleet/types.ts';
import { refuseInvalidKeys } from '../forwards/keyChecks.ts';
import { rerouteFromEngine } from '../forwards/rerouting.ts';
import { observeLeaving } from '../notices/leaving.ts';
import { markEndpointRemoved, applyRegistration } from '../fleet/registration.ts';
import { adoptMembersRow, notifyRemovedHosts, recordLostMembersRow } from '../owners/members.ts';
import { applyAdapterVersion, updateOwnedEngines } from '../residency/ownedEngines.ts';
import { newRouteIndex } from '../routes/match.ts';
import { applySuspectsRow } from '../suspects/directorySuspects.ts';
import { applyVersionSplits, scheduleSplitUpdate } from '../streams/splitsRow.ts';
import { recordFormerVersion } from '../streams/softwareVersions.ts';
import { getLoggedTopicAgeMs } from './clock.ts';
import { EXPIRY_GRACE_MS, MAX_REMOVAL_DEFERRAL_MS } from './constants.ts';
import { recordRoutingSource } from './routingKnowledge.ts';
import type {
  ChangeSource,
  DirectoryChange,
  DirectoryContent,
  Topic,
  TopicState,
} from './types.ts';

type Applier<C extends DirectoryContent = DirectoryContent> = (
  state: State,
  content: C,
  change: DirectoryChange,
  now: number,
  source: ChangeSource,
) => Effect[];

type Appliers = {
  [T in DirectoryContent['type']]: Applier<Extract<DirectoryContent, { type: T }>>;
};

const appliers: Appliers = {
  routing: (state, { table }, change, now, source) => {
    const known = state.routeIndex.current;
    if (known !== undefined && table.version <= known.table.version) return [];
    state.routeIndex.current = newRouteIndex(table);
    recordRoutingSource(state, source, now);
    const refused = table.tenants == null ? [] : refuseInvalidKeys(state, now);
    scheduleSplitUpdate(state, now);
    const { version, routes, services } = table;
    return [
      newLog('info', 'routing table applied', {
        version,
        before: known?.table.version ?? 0,
        routes: routes.length,
        services: services.length,
        tenants: table.tenants?.length,
        rowVersion: change.version,
        ...source,
        ageMs: getLoggedTopicAgeMs(state, 'operator', now),
      }),
      newGauge('fireflywick_configuration_revision', {}, version),
      ...refused,
    ];
  },
  adapterVersion: (state, { adapter, version }, _change, now) =>
    applyAdapterVersion(state, adapter, version, now),
  endpoint: (state, { endpoint }, _change, now) => {
    state.directory.deferredRemovals.delete(endpoint.id);
    const known = state.fleet.views.get(endpoint.id)?.endpoint;
    const wasLeaving = known?.isLeaving === true;
    if (!applyRegistration(state.fleet, endpoint)) return [];
    const restartEffects = known === undefined ? [] : recordEndpointUpdate(state, known, now);
    scheduleSplitUpdate(state, now);
    const effects = [
      ...restartEffects,
      ...countCrashesOfEndpoint(state, endpoint.id, now),
      ...updateOwnedEngines(state, now),
    ];
    if (!endpoint.isLeaving || wasLeaving) return effects;
    const { remainingMs } = endpoint;
    return [
      ...observeLeaving(state, endpoint, { source: 'directory', remainingMs }, now),
      ...effects,
    ];
  },
  members: (state, { row }, { version }, now) => [
    ...adoptMembersRow(state, row, version, now),
    ...notifyRemovedHosts(state),
  ],
  suspects: (state, { row }, { version }, now) => applySuspectsRow(state, row, version, now),
  versionSplits: (state, { row }, { version }, now) => applyVersionSplits(state, row, version, now),
  removed: (state, _content, change, now) => {
    if (!state.fleet.views.has(change.key)) return [];
    if (!mayEntriesHaveExpired(state, now)) return dropEndpoint(state, change.key, now);
    state.directory.deferredRemovals.set(change.key, {
      change,
      until: getDeferralEnd(state, now),
    });
    schedule(state, getDeferralEnd(state, now), { type: 'applyDeferredRemovals' });
    return [];
  },
  malformed: (_state, { reason }, { key, version }) => [
    newLog('warn', 'directory entry is malformed', { key, version, reason }),
  ],
};

/** Records what the last registration of an endpoint said of its software. */
function recordEndpointUpdate(state: State, former: Endpoint, now: number): Effect[] {
  recordFormerVersion(state, former, now);
  return markRestartedAttempts(state, former.id, now);
}

/** Applies the changes whose versions are newer than the known ones of their keys. */
export function applyChanges(
  state: State,
  topic: Topic,
  changes: DirectoryChange[],
  source: ChangeSource,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  return changes.flatMap((change) => {
    const before = known.entries.get(change.key);
    if (before !== undefined && before.version >= change.version) return [];
    known.entries.set(change.key, change);
    known.newestVersion = Math.max(known.newestVersion, change.version);
    const effects = applyChange(state, change, source, now);
    if (change.content.type !== 'removed' || before === undefined) return effects;
    return [...effects, ...handleRemovedRow(state, before.content, now)];
  });
}

/** Applies all entries of a topic as of `version`; known keys that are missing count as removed. */
export function applySnapshot(
  state: State,
  topic: Topic,
  changes: DirectoryChange[],
  version: number,
  source: ChangeSource,
  now: number,
): Effect[] {
  const keys = changes.map(({ key }) => key);
  const removals = findRemovals(state.directory.topics[topic], keys, version);
  return applyChanges(state, topic, [...changes, ...removals], source, now);
}

/** Returns the removals of the known rows that are not among the keys of all rows as of `version`. */
export function findRemovals(
  { entries }: TopicState,
  keys: readonly string[],
  version: number,
): DirectoryChange[] {
  const present = new Set(keys);
  return [...entries.values()]
    .filter((known) => !present.has(known.key) && known.version <= version)
    .filter(({ content }) => content.type !== 'removed')
    .map(({ key }) => ({ key, version, content: { type: 'removed' } }));
}

/** Applies the deferred removals whose grace period has ended. */
export function applyDeferredRemovals(state: State, now: number): Effect[] {
  const due = [...state.directory.deferredRemovals.values()].filter(({ until }) => until <= now);
  return due.flatMap(({ change }) => {
    state.directory.deferredRemovals.delete(change.key);
    return dropEndpoint(state, change.key, now);
  });
}

/** Has a row of the hosts written again that is no longer in the directory. */
function handleRemovedRow(state: State, { type }: DirectoryContent, now: number): Effect[] {
  if (type === 'versionSplits') return applyVersionSplits(state, state.streams.splitsRow, 0, now);
  if (type === 'suspects') return applySuspectsRow(state, { suspects: [] }, 0, now);
  if (type === 'members') recordLostMembersRow(state.owners, 0);
  return [];
}

function applyChange(
  state: State,
  change: DirectoryChange,
  source: ChangeSource,
  now: number,
): Effect[] {
  const applier = appliers[change.content.type] as Applier;
  return applier(state, change.content, change, now, source);
}

/**
 * Takes an endpoint out of use. As its owner, this host refuses the queued reservations; requests
 * of this host that wait for a reservation there are placed elsewhere.
 */
export function dropEndpoint(state: State, id: string, now: number): Effect[] {
  const view = state.fleet.views.get(id);
  if (view !== undefined) recordFormerVersion(state, view.endpoint, now);
  markEndpointRemoved(state.fleet, id);
  scheduleSplitUpdate(state, now);
  return [
    newLog('info', 'endpoint was removed', { endpoint: id }),
    ...countCrashesOfEndpoint(state, id, now),
    ...updateOwnedEngines(state, now),
    ...rerouteFromEngine(state, id, 'the engine was removed', now),
  ];
}

/**
 * Returns the monotonic ms until which a removed endpoint stays in use. The time is limited, as the
 * endpoint may have left for good.
 */
function getDeferralEnd({ directory }: State, now: number): number {
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  const latest = now + MAX_REMOVAL_DEFERRAL_MS;
  return unavailableSince === undefined ? Math.min(latest, recoveredAt + EXPIRY_GRACE_MS) : latest;
}

/**
 * Whether the directory is or was unavailable lately, so that entries of live endpoints may have
 * expired.
 */
function mayEntriesHaveExpired({ directory }: State, now: number): boolean {
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  return unavailableSince !== undefined || recoveredAt + EXPIRY_GRACE_MS > now;
}
