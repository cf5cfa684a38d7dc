import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { MembersRow } from '../owners/types.ts';
import { getAnnouncedEntry } from './announcedEntries.ts';
import { applyTopicChanges } from './announcements.ts';
import { findChanges } from './namedDifferences.ts';
import type { DirectoryChange, MembersChange } from './types.ts';
import { requestTopicChanges } from './peerChanges.ts';

/** Key of the members row in its topic. */
const MEMBERS_KEY = 'members';

/** Returns what a change of the topic changed of the members row; undefined if it did not change the row alone. */
export function newMembersChange(
  { directory }: State,
  changes: readonly DirectoryChange[],
  after: number,
  upTo: number,
): MembersChange | undefined {
  const [change] = changes;
  const before = getAnnouncedEntry(directory.topics.members, MEMBERS_KEY)?.content;
  if (changes.length !== 1 || change?.content.type !== 'members') return undefined;
  if (before?.type !== 'members') return undefined;
  const { row } = change.content;
  return {
    type: 'membersChanged',
    after,
    upTo,
    version: change.version,
    fromEpoch: before.row.epoch,
    epoch: row.epoch,
    ...findChanges(before.row.members, row.members, ({ host }) => host),
  };
}

/** Applies a change of the members row to the row that this host knows, or requests the whole row. */
export function applyMembersChange(
  state: State,
  change: MembersChange,
  from: string,
  now: number,
): Effect[] {
  const known = state.directory.topics.members.entries.get(MEMBERS_KEY)?.content;
  if (known?.type !== 'members' || known.row.epoch !== change.fromEpoch)
    return [requestTopicChanges(state, 'members', from)];
  const { after, upTo, version } = change;
  const content = { type: 'members' as const, row: newRow(known.row, change) };
  const changes = [{ key: MEMBERS_KEY, version, content }];
  const told = { type: 'topicTold' as const, topic: 'members' as const, after, upTo, changes };
  return applyTopicChanges(state, told, from, now);
}

function newRow({ members }: MembersRow, { epoch, changed, removed }: MembersChange): MembersRow {
  const replaced = new Set([...removed, ...changed.map(({ host }) => host)]);
  return { epoch, members: [...members.filter(({ host }) => !replaced.has(host)), ...changed] };
}
