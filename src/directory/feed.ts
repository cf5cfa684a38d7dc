import { deliver } from '../core/deliver.ts';
import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { ANSWER_SLACK_MS, CALM_MS, FEED_MS } from './constants.ts';
import { getListeners, isFed, isReader } from './group.ts';
import { type DirectoryFed, Topic } from './types.ts';
import { askTopic, callTopic } from './watch.ts';

/** Starts the rounds in which the reader tells that it is in touch, and the others check that. */
export function startFeed(state: State, now: number): Effect[] {
  schedule(state, now + FEED_MS, { type: 'feedRound' });
  return [];
}

/** Tells the hosts of the group that this reader is in touch, or notes that it is not. */
export function feedGroup(state: State, now: number): Effect[] {
  schedule(state, now + FEED_MS, { type: 'feedRound' });
  const { directory } = state;
  if (directory.fedAt !== -Infinity && !isFed(state, now)) {
    directory.fedAt = -Infinity;
    return watchAgain(state, now);
  }
  if (!isReader(state) || !isInTouch(state, now)) return [];
  const { operator, endpoints, members } = directory.topics;
  const fed: DirectoryFed = {
    type: 'directoryFed',
    told: [operator.toldVersion, endpoints.toldVersion, members.toldVersion],
    regainedMs: Math.min(now - endpoints.regainedAt, Number.MAX_SAFE_INTEGER),
  };
  return getListeners(state).map((host) => deliver(state, host, fed));
}

/** Takes up that a reader is in touch, and asks it for changes that did not arrive. */
export function hearFeed(state: State, fed: DirectoryFed, from: string, now: number): Effect[] {
  const { directory } = state;
  directory.fedAt = now;
  const { endpoints } = directory.topics;
  endpoints.regainedAt = Math.max(endpoints.regainedAt, now - fed.regainedMs);
  return Topic.options.flatMap((topic, index) => {
    const known = directory.topics[topic];
    if (known.version === undefined) return [];
    // While members change, the watch of this host brings them as well.
    const isComing = topic === 'members' && known.changedAt + CALM_MS > now;
    const isBehind = (fed.told[index] ?? 0) > known.version && !isComing;
    return isBehind ? [askTopic(state, topic, from)] : [];
  });
}

/** Whether all calls of this host are answered, as far as it can tell. */
function isInTouch({ directory }: State, now: number): boolean {
  const { endpoints } = directory.topics;
  const isLate = endpoints.isCalling && endpoints.answerBy + ANSWER_SLACK_MS < now;
  return (
    !isLate &&
    Object.values(directory.topics).every(
      ({ lostAt, version }) => lostAt === undefined && version !== undefined,
    )
  );
}

/** Gives up the long watches of a host that was fed, which may hang, and watches closely. */
function watchAgain(state: State, now: number): Effect[] {
  return Topic.options.flatMap((topic) => {
    const known = state.directory.topics[topic];
    // A call that failed is repeated by its own timer.
    if (known.lostAt !== undefined) return [];
    known.isCalling = false;
    return callTopic(state, topic, now);
  });
}
