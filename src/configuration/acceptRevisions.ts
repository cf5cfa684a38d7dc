import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { refreshOwnedEngines } from '../grants/owned.ts';
import { applyRevision } from './apply.ts';
import { MAX_RECENT_REVISIONS, SNAPSHOT_INTERVAL_REVISIONS } from './constants.ts';
import { getSnapshotKey } from './keys.ts';
import { applySnapshot, getSnapshot, type Snapshot } from './snapshot.ts';
import { getPeerRevision, type RevisionSource, propagateRevision } from './propagation.ts';
import type { Revision } from './types.ts';

/** Applies and propagates, in order, the revisions that directly follow the current one. */
export function acceptRevisions(
  state: State,
  revisions: readonly Revision[],
  source: RevisionSource,
  now: number,
): Effect[] {
  const { configuration, configurationSync } = state;
  const effects: Effect[] = [];
  const before = configuration.revision;
  for (const revision of revisions) {
    if (!applyRevision(configuration, revision)) continue;
    configurationSync.recentRevisions = [...configurationSync.recentRevisions, revision].slice(
      -MAX_RECENT_REVISIONS,
    );
    effects.push(...propagateRevision(state, revision, source));
    // Only the host that confirmed the revision writes the snapshot.
    if (source.type === 'confirmed' && revision.revision % SNAPSHOT_INTERVAL_REVISIONS === 0) {
      const body = JSON.stringify(getSnapshot(configuration));
      effects.push(newSnapshotWrite(revision.revision, body));
    }
  }
  return configuration.revision === before
    ? []
    : [...effects, ...handleNewConfiguration(state, now)];
}

/** Returns the effect that writes a snapshot to the object store. */
export function newSnapshotWrite(revision: number, body: string): Effect {
  return {
    type: 'callObjects',
    call: { type: 'put', key: getSnapshotKey(revision), body },
    purpose: { type: 'writeSnapshot', revision, body },
  };
}

/** Replaces the configuration by `snapshot` if it is newer; ignores it otherwise. */
export function acceptSnapshot(state: State, snapshot: Snapshot, now: number): Effect[] {
  if (!applySnapshot(state.configuration, snapshot)) return [];
  state.configurationSync.recentRevisions = [];
  return handleNewConfiguration(state, now);
}

/**
 * Sets `hasCaughtUp` once the host has a configuration and knows of no newer revision in the table
 * or, while the table is unavailable, at its peers.
 */
export function updateHasCaughtUp(state: State): void {
  const { configurationSync, configuration } = state;
  if (configurationSync.hasCaughtUp || configuration.revision === 0) return;
  const newest = configurationSync.isTableUnavailable
    ? getNewestPeerRevision(state)
    : configurationSync.headRevision;
  configurationSync.hasCaughtUp = newest !== undefined && configuration.revision >= newest;
}

function getNewestPeerRevision(state: State): number {
  // Hosts without a link do not count: this host may have no way to get their newest revision.
  const peers = [...state.membership.linkedHosts].filter((peer) => peer !== state.host.id);
  return peers.reduce((newest, peer) => Math.max(newest, getPeerRevision(state, peer)), 0);
}

function handleNewConfiguration(state: State, now: number): Effect[] {
  const { revision } = state.configuration;
  updateHasCaughtUp(state);
  return [
    newLog('info', 'configuration is in force', { revision }),
    { type: 'gauge', metric: 'fireflywick_configuration_revision', labels: {}, value: revision },
    ...refreshOwnedEngines(state, now),
  ];
}
