import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { getFollowers, isReader } from './group.ts';
import { applyChanges } from './apply.ts';
import type { DirectoryChange, DirectoryContent, Topic, TopicChanges } from './types.ts';

/**
 * Tells the group what an answer up to version `upTo` brought this reader; call before the changes
 * are taken up. The members row is large and every host watches it, so that hosts ask for it where
 * they lack it.
 */
export function announceTopicChanges(
  state: State,
  topic: Topic,
  { changes, version: upTo }: { changes: readonly DirectoryChange[]; version: number },
): Effect[] {
  const known = state.directory.topics[topic];
  const news = changes.filter((change) => {
    const before = known.entries.get(change.key);
    return before === undefined || !isSameContent(before.content, change.content);
  });
  if (news.length === 0) return [];
  const after = known.announcedVersion;
  known.announcedVersion = Math.max(after, upTo);
  if (topic === 'members' || !isReader(state)) return [];
  return getFollowers(state).map((host) =>
    deliver(state, host, { type: 'topicTold', topic, after, upTo, changes: news }),
  );
}

/** Takes up what another host tells, and continues from there unless something is missing between. */
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

/** Whether two contents say the same to a host that gives the endpoint no orders. */
function isSameContent(a: DirectoryContent, b: DirectoryContent): boolean {
  return JSON.stringify(withoutOrders(a)) === JSON.stringify(withoutOrders(b));
}

/** The adapters and the sequence change with each order; hosts learn of them from the owner. */
function withoutOrders(content: DirectoryContent): unknown {
  if (content.type !== 'endpoint') return content;
  return { ...content.endpoint, adapters: [], sequence: 0, remainingMs: undefined };
}
