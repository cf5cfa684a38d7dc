import { getRendezvousOrder } from '../base/hash.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import {
  HEAD_BACKUP_POLL_MS,
  HEAD_KEY,
  HEAD_POLL_MS,
  PEER_REQUEST_INTERVAL_MS,
  POLLERS_PER_ZONE,
  READ_TIMEOUT_MS,
  REVISION_PREFIX,
  REVISION_SCAN_LIMIT,
  SNAPSHOT_INTERVAL_REVISIONS,
} from './constants.ts';
import { getRevisionKey, getSnapshotKey } from './keys.ts';
import { getPeerRevision } from './propagation.ts';

/**
 * Returns the time between two reads of the head: short until the host has caught up, afterwards only
 * on `POLLERS_PER_ZONE` hosts of each zone.
 */
export function getPollInterval(state: State): number {
  const { host, membership, configurationSync } = state;
  if (!configurationSync.hasCaughtUp) return HEAD_POLL_MS;
  const others = [...membership.hosts.values()].filter(
    (entry) => entry.zone === host.zone && entry.state === 'live' && entry.host !== host.id,
  );
  const ids = [host.id, ...others.map((entry) => entry.host)];
  const pollers = getRendezvousOrder(`poll/${host.zone}`, ids).slice(0, POLLERS_PER_ZONE);
  return pollers.includes(host.id) ? HEAD_POLL_MS : HEAD_BACKUP_POLL_MS;
}

/** Reads the head row, unless the last read is still unanswered. */
export function readHead(state: State, now: number): Effect[] {
  if (now - state.configurationSync.headReadSentAt < READ_TIMEOUT_MS) return [];
  state.configurationSync.headReadSentAt = now;
  return [
    { type: 'callTable', call: { type: 'get', key: HEAD_KEY }, purpose: { type: 'readHead' } },
  ];
}

/** Requests missing revisions from the linked peer with the highest revision, when necessary. */
export function requestPeerRevisions(state: State, now: number): Effect[] {
  const { configuration, membership, configurationSync, host } = state;
  if (now - configurationSync.peerRequestSentAt < PEER_REQUEST_INTERVAL_MS) return [];
  const hasNoRevision = configuration.revision === 0;
  const peers = [...membership.linkedHosts].filter((id) => id !== host.id);
  const [mostRecentPeer] = peers
    .map((id) => ({ id, revision: getPeerRevision(state, id) }))
    .sort((a, b) => b.revision - a.revision);
  if (mostRecentPeer === undefined) return [];
  // Hosts normally read the table. They use peers while it is unavailable, or if they are new.
  const isNeeded =
    mostRecentPeer.revision > configuration.revision &&
    (configurationSync.isTableUnavailable || hasNoRevision);
  if (!isNeeded && !(hasNoRevision && configurationSync.isTableUnavailable)) return [];
  configurationSync.peerRequestSentAt = now;
  return [
    sendMessage(state, mostRecentPeer.id, {
      type: 'revisionsAsked',
      after: configuration.revision,
    }),
  ];
}

/** Reads the revisions up to the head, starting from a snapshot if this host is far behind. */
export function readMissingRevisions(state: State, now: number): Effect[] {
  const { configurationSync, configuration } = state;
  const head = configurationSync.headRevision ?? 0;
  if (
    head <= configuration.revision ||
    now - configurationSync.revisionReadSentAt < READ_TIMEOUT_MS
  )
    return [];
  configurationSync.revisionReadSentAt = now;
  const snapshot = head - (head % SNAPSHOT_INTERVAL_REVISIONS);
  const isFar = head - configuration.revision > SNAPSHOT_INTERVAL_REVISIONS;
  return [isFar ? newSnapshotRead(snapshot) : newRevisionScan(configuration.revision)];
}

/** Returns the effect that reads the snapshot of `revision`. */
export function newSnapshotRead(revision: number): Effect {
  return {
    type: 'callObjects',
    call: { type: 'get', key: getSnapshotKey(revision) },
    purpose: { type: 'readSnapshot', revision },
  };
}

/** Returns the effect that reads the revisions after `after`. */
export function newRevisionScan(after: number): Effect {
  return {
    type: 'callTable',
    call: {
      type: 'scan',
      prefix: REVISION_PREFIX,
      after: getRevisionKey(after),
      limit: REVISION_SCAN_LIMIT,
    },
    purpose: { type: 'readRevisions', after },
  };
}
