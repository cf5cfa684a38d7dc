import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { MessageHandlers } from '../core/handlers.ts';
import type { State } from '../core/state.ts';
import { acceptRevisions, acceptSnapshot } from './acceptRevisions.ts';
import { MAX_RECENT_REVISIONS } from './constants.ts';
import type { ConfigurationMessage } from './messages.ts';
import { readMissingRevisions } from './polling.ts';
import { getPeerRevision, newCatchUpMessages } from './propagation.ts';
import type { Change } from './types.ts';

/** Handlers of the messages that replicate the configuration. */
export const configurationMessages: MessageHandlers<ConfigurationMessage['type']> = {
  revisionPushed: (state, { revision }, from, now) => {
    updatePeerRevision(state, from, revision.revision);
    const { configuration } = state;
    if (revision.revision <= configuration.revision) return [];
    if (revision.revision > configuration.revision + 1) {
      return requestMissingRevisions(state, from, revision.revision, now);
    }
    return acceptRevisions(state, [revision], { type: 'peer', host: from }, now);
  },
  revisionAnnounced: (state, { revision }, from, now) => {
    updatePeerRevision(state, from, revision);
    if (revision <= state.configuration.revision) return [];
    return readFromTable(state, revision, now);
  },
  revisionsAsked: (state, { after }, from) => {
    // Replaces a higher value: a restarted peer begins without a configuration.
    state.configurationSync.peerRevisions.set(from, after);
    return newCatchUpMessages(state, from, after);
  },
  snapshotPushed: (state, { revision, part, parts, changes }, from, now) => {
    updatePeerRevision(state, from, revision);
    const all = addSnapshotPart(state, from, { revision, part, parts, changes });
    return all === undefined ? [] : acceptSnapshot(state, { revision, changes: all }, now);
  },
};

/**
 * Requests the revisions up to `revision`, so that none is skipped: a few from the sender, many
 * from the table, because a whole configuration is large for a link between hosts.
 */
function requestMissingRevisions(
  state: State,
  from: string,
  revision: number,
  now: number,
): Effect[] {
  const after = state.configuration.revision;
  const isFar = revision - after > MAX_RECENT_REVISIONS || after === 0;
  if (isFar && !state.configurationSync.isTableUnavailable)
    return readFromTable(state, revision, now);
  return [sendMessage(state, from, { type: 'revisionsAsked', after })];
}

/** Hosts send only accepted revisions, so the head row is at `revision` or later. */
function readFromTable(state: State, revision: number, now: number): Effect[] {
  state.configurationSync.headRevision = Math.max(
    state.configurationSync.headRevision ?? 0,
    revision,
  );
  return readMissingRevisions(state, now);
}

interface SnapshotPart {
  revision: number;
  part: number;
  parts: number;
  changes: Change[];
}

/** Stores one part of a snapshot. Returns the changes of all parts once they are complete. */
function addSnapshotPart(state: State, from: string, part: SnapshotPart): Change[] | undefined {
  const { partialSnapshots } = state.configurationSync;
  if (part.revision <= state.configuration.revision) {
    partialSnapshots.delete(from);
    return undefined;
  }
  let snapshot = partialSnapshots.get(from);
  if (snapshot?.revision !== part.revision) {
    snapshot = { revision: part.revision, parts: new Map() };
    partialSnapshots.set(from, snapshot);
  }
  snapshot.parts.set(part.part, part.changes);
  if (snapshot.parts.size < part.parts) return undefined;
  partialSnapshots.delete(from);
  const { parts } = snapshot;
  return Array.from({ length: part.parts }, (_, index) => parts.get(index) ?? []).flat();
}

function updatePeerRevision(state: State, host: string, revision: number): void {
  state.configurationSync.peerRevisions.set(host, Math.max(revision, getPeerRevision(state, host)));
}
