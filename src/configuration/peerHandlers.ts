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

export const configurationMessages: MessageHandlers<ConfigurationMessage['type']> = {
  revisionPushed: (state, { revision }, from, now) => {
    updatePeerRevision(state, from, revision.revision);
    const { configuration } = state;
    if (revision.revision <= configuration.revision) return [];
    if (revision.revision > configuration.revision + 1) {
      return catchUp(state, from, revision.revision, now);
    }
    return acceptRevisions(state, [revision], { type: 'peer', host: from }, now);
  },
  revisionAnnounced: (state, { revision }, from, now) => {
    updatePeerRevision(state, from, revision);
    if (revision <= state.configuration.revision) return [];
    return readFromTable(state, revision, now);
  },
  revisionsAsked: (state, { after }, from) => {
    // A restarted peer has less than it had before.
    state.configurationSync.peerRevisions.set(from, after);
    return newCatchUpMessages(state, from, after);
  },
  snapshotPushed: (state, { revision, part, parts, changes }, from, now) => {
    updatePeerRevision(state, from, revision);
    const all = collectPart(state, from, { revision, part, parts, changes });
    return all === undefined ? [] : acceptSnapshot(state, { revision, changes: all }, now);
  },
};

/**
 * Gets what lies before `revision`, so that none is skipped: a few revisions from the sender, many
 * from the table, because a whole configuration is large for a link between hosts.
 */
function catchUp(state: State, from: string, revision: number, now: number): Effect[] {
  const after = state.configuration.revision;
  const isFar = revision - after > MAX_RECENT_REVISIONS || after === 0;
  if (isFar && !state.configurationSync.isTableUnavailable)
    return readFromTable(state, revision, now);
  return [sendMessage(state, from, { type: 'revisionsAsked', after })];
}

/** Only accepted revisions reach other hosts, so the head row has at least `revision`. */
function readFromTable(state: State, revision: number, now: number): Effect[] {
  state.configurationSync.headRevision = Math.max(
    state.configurationSync.headRevision ?? 0,
    revision,
  );
  return readMissingRevisions(state, now);
}

interface Part {
  revision: number;
  part: number;
  parts: number;
  changes: Change[];
}

/** Keeps one part of a snapshot; returns all changes once the last part is there. */
function collectPart(state: State, from: string, part: Part): Change[] | undefined {
  const { partialSnapshots: partial } = state.configurationSync;
  if (part.revision <= state.configuration.revision) {
    partial.delete(from);
    return undefined;
  }
  let known = partial.get(from);
  if (known?.revision !== part.revision) {
    known = { revision: part.revision, parts: new Map() };
    partial.set(from, known);
  }
  known.parts.set(part.part, part.changes);
  if (known.parts.size < part.parts) return undefined;
  partial.delete(from);
  const { parts } = known;
  return Array.from({ length: part.parts }, (_, index) => parts.get(index) ?? []).flat();
}

function updatePeerRevision(state: State, host: string, revision: number): void {
  state.configurationSync.peerRevisions.set(host, Math.max(revision, getPeerRevision(state, host)));
}
