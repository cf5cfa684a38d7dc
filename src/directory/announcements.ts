import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { Message } from '../core/messages.ts';
import type { State } from '../core/state.ts';
import { MAX_ANNOUNCED_BYTES } from './constants.ts';
import { getFollowers, isReader } from './group.ts';
import { getAnnouncedEntry } from './announcedEntries.ts';
import { applyChanges, findRemovals } from './apply.ts';
import { newMembersChange } from './membersChanges.ts';
import { isRequested, isSyncedWith } from './readerSync.ts';
import { newRoutingChange } from './routingChanges.ts';
import type {
  DirectoryChange,
  DirectoryContent,
  Topic,
  TopicChanges,
  TopicState,
} from './types.ts';

/**
 * As a reader, announces the changes of a watch answer up to version `upTo` to the followers. Call
 * it before the changes are applied. Of the members row and of the routing table, which are large, only the
 * difference is announced, and of operators' changes that are still large only that they are there.
 */
export function announceTopicChanges(
  state: State,
  topic: Topic,
  { changes, version: upTo }: { changes: readonly DirectoryChange[]; version: number },
): Effect[] {
  const known = state.directory.topics[topic];
  const changed = changes.filter(({ key, content }) => {
    const before = getAnnouncedEntry(known, key);
    return before === undefined || !isSameContent(before.content, content);
  });
  if (changed.length === 0) return [];
  const after = known.announcedVersion;
  known.announcedVersion = Math.max(after, upTo);
  if (!isReader(state)) return [];
  const followers = getFollowers(state);
  const difference = differences[topic]?.(state, changed, after, known.announcedVersion);
  const whole = { type: 'topicTold' as const, topic, after, upTo, changes: changed };
  const content = difference ?? whole;
  const message = isTooLarge(topic, content, followers.length)
    ? { type: 'topicAdvanced' as const, topic, upTo }
    : content;
  return followers.map((host) => sendMessage(state, host, message));
}

/** What is announced of a topic whose rows are large; undefined stands for the rows themselves. */
const differences: Partial<
  Record<
    Topic,
    (
      state: State,
      changes: readonly DirectoryChange[],
      after: number,
      upTo: number,
    ) => Message | undefined
  >
> = { members: newMembersChange, operator: newRoutingChange };

/**
 * Whether content of a topic is too large to be sent to `hosts` hosts; they read it from the directory then. Only
 * the operators' rows grow so large.
 */
export function isTooLarge(topic: Topic, content: unknown, hosts: number): boolean {
  if (topic !== 'operator') return false;
  return JSON.stringify(content).length * hosts > MAX_ANNOUNCED_BYTES;
}

/**
 * Applies changes that another host sent, and advances the known version unless earlier changes are
 * missing.
 */
export function applyTopicChanges(
  state: State,
  { topic, after, upTo, changes, keys }: TopicChanges,
  from: string,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  const { version = 0 } = known;
  const accepted = changes.filter(isComplete);
  const rows = keys === undefined ? accepted : findRowsAsOf(known, accepted, keys, upTo);
  // A host of an earlier version leaves out what it does not know.
  const isWhole = accepted.length === changes.length;
  const isAnswer = isRequested(known, from, after);
  const isContinued = isAnswer || isSyncedWith(known, from, after);
  if (isWhole && isContinued && known.version !== undefined && after <= known.version) {
    known.version = Math.max(known.version, upTo);
    known.announcedVersion = Math.max(known.announcedVersion, upTo);
    known.synced = { host: from, version: upTo };
    // An answer with keys leaves out what came and went between.
    if (!isAnswer || keys !== undefined) known.omittedUpTo = upTo;
  }
  if (isAnswer) known.requested = undefined;
  // This host has every change up to its version; older ones arrive late.
  const newer = rows.filter((row) => row.version > version);
  return applyChanges(state, topic, newer, { source: 'host', from }, now);
}

/**
 * Returns rows as they are up to `version`, with the removals of known rows that are not among the keys. What this host
 * knows of a row that is newer than its change, and not newer than `version`, has changed back since.
 */
function findRowsAsOf(
  known: TopicState,
  changes: readonly DirectoryChange[],
  keys: readonly string[],
  version: number,
): DirectoryChange[] {
  const rows = changes.map((change) => {
    const knownVersion = known.entries.get(change.key)?.version ?? known.version ?? 0;
    const isOverwritten = knownVersion > change.version && knownVersion < version;
    return isOverwritten ? { ...change, version } : change;
  });
  return [...rows, ...findRemovals(known, keys, version)];
}

/** Whether a change that another host sent has all that this version knows of; tenants are essential. */
function isComplete({ content }: DirectoryChange): boolean {
  return content.type !== 'routing' || content.table.tenants !== undefined;
}

/** Whether two contents are the same to a host that does not own the engine. */
function isSameContent(a: DirectoryContent, b: DirectoryContent): boolean {
  return JSON.stringify(withoutOrderFields(a)) === JSON.stringify(withoutOrderFields(b));
}

/**
 * Returns the content without the fields that change with each order of the owner: hosts learn the
 * adapters from the owner's announcements.
 */
function withoutOrderFields(content: DirectoryContent): unknown {
  if (content.type !== 'endpoint') return content;
  return { ...content.endpoint, adapters: [], sequence: 0, remainingMs: undefined };
}
