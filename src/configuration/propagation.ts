import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { MAX_CHANGES_PER_MESSAGE } from './constants.ts';
import { getSnapshot } from './snapshot.ts';
import type { Revision } from './types.ts';

/** Where a revision came from; `confirmed`: an operator confirmed its plan on this host. */
export type RevisionSource =
  { type: 'confirmed' } | { type: 'table' } | { type: 'peer'; host: string };

/**
 * Sends a revision to linked hosts that do not have it. A revision from a peer is not sent to the
 * zone of that peer, whose hosts are linked with each other. A revision from the table is sent to
 * this host's zone only, since hosts of each zone poll the table.
 */
export function propagateRevision(
  state: State,
  revision: Revision,
  source: RevisionSource,
): Effect[] {
  const { host, membership } = state;
  const getZone = (id: string) => membership.hosts.get(id)?.zone ?? host.zone;
  const isLarge = revision.changes.length > MAX_CHANGES_PER_MESSAGE;
  return [...membership.linkedHosts].flatMap((to) => {
    if (to === host.id || isPeerUpToDate(state, to, revision.revision)) return [];
    if (source.type === 'table' && getZone(to) !== host.zone) return [];
    if (source.type === 'peer' && getZone(to) === getZone(source.host)) return [];
    return [
      sendMessage(
        state,
        to,
        isLarge
          ? { type: 'revisionAnnounced', revision: revision.revision }
          : { type: 'revisionPushed', revision },
      ),
    ];
  });
}

/** Returns the messages that bring a peer from `after` to this host's configuration. */
export function newCatchUpMessages(state: State, to: string, after: number): Effect[] {
  const { configuration, configurationSync } = state;
  if (configuration.revision <= after) return [];
  const missing = configurationSync.recentRevisions.filter(({ revision }) => revision > after);
  const changes = missing.reduce((sum, revision) => sum + revision.changes.length, 0);
  if (missing[0]?.revision === after + 1 && changes <= MAX_CHANGES_PER_MESSAGE) {
    return missing.map((revision) => sendMessage(state, to, { type: 'revisionPushed', revision }));
  }
  const snapshot = getSnapshot(configuration);
  const parts = Math.max(1, Math.ceil(snapshot.changes.length / MAX_CHANGES_PER_MESSAGE));
  return Array.from({ length: parts }, (_, part) =>
    sendMessage(state, to, {
      type: 'snapshotPushed',
      revision: snapshot.revision,
      part,
      parts,
      changes: snapshot.changes.slice(
        part * MAX_CHANGES_PER_MESSAGE,
        (part + 1) * MAX_CHANGES_PER_MESSAGE,
      ),
    }),
  );
}

/** Returns the highest revision that a peer is known to have, or 0. */
export function getPeerRevision(state: State, host: string): number {
  return Math.max(
    state.configurationSync.peerRevisions.get(host) ?? 0,
    state.membership.hosts.get(host)?.configurationRevision ?? 0,
  );
}

function isPeerUpToDate(state: State, host: string, revision: number): boolean {
  return getPeerRevision(state, host) >= revision;
}
