import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { getFollowers, isReader } from './group.ts';
import { applyChanges } from './apply.ts';
import type { DirectoryChange, DirectoryContent, Topic, TopicChanges } from './types.ts';

/**
 * As a reader, announces the changes of a watch answer up to version `upTo` to the followers. Call
 * it before the changes are applied. The members row is not announced, because it is large and each
 * host watches it; hosts that lack it request it.
 */
export function announceTopicChanges(
  state: State,
  topic: Topic,
  { changes, version: upTo }: { changes: readonly DirectoryChange[]; version: number },
): Effect[] {
  const known = state.directory.topics[topic];
  const changed = changes.filter((change) => {
    const before = known.entries.get(change.key);
    return before === undefined || !isSameContent(before.content, change.content);
  });
  if (changed.length === 0) return [];
  const after = known.announcedVersion;
  known.announcedVersion = Math.max(after, upTo);
  if (topic === 'members' || !isReader(state)) return [];
  return getFollowers(state).map((host) =>
    sendMessage(state, host, { type: 'topicTold', topic, after, upTo, changes: changed }),
  );
}

/**
 * Applies changes that another host sent, and advances the known version unless earlier changes are
 * missing.
 */
export function applyTopicChanges(
  state: State,
  { topic, after, upTo, changes }: TopicChanges,
  now: number,
): Effect[] {
  const known = state.directory.topics[topic];
  if (known.version !== undefined && after <= known.version) {
    known.version = Math.max(known.version, upTo);
    known.announcedVersion = Math.max(known.announcedVersion, upTo);
  }
  return applyChanges(state, topic, changes, now);
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
