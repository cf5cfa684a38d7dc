import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isHostUnreachable } from '../membership/reachability.ts';
import { TAKEOVER_RETRY_INTERVAL_MS, HOST_CHECK_INTERVAL_MS } from './constants.ts';
import { isDraftSuccessor, startDraftTakeover } from './draftTakeover.ts';

/** Takes over the drafts of unreachable hosts whose successor is this host. */
export function takeOverFromUnreachableHosts(state: State, now: number): Effect[] {
  schedule(state, now + HOST_CHECK_INTERVAL_MS, { type: 'checkDraftHosts' });
  const { lastTakeoverAt } = state.drafts;
  const effects: Effect[] = [];
  for (const entry of state.membership.hosts.values()) {
    const { host } = entry;
    // If a host was falsely taken for unreachable, a draft may run twice, but its result is written
    // once.
    if (!isHostUnreachable(state, entry, now)) lastTakeoverAt.delete(host);
    else if ((lastTakeoverAt.get(host) ?? -Infinity) + TAKEOVER_RETRY_INTERVAL_MS <= now) {
      lastTakeoverAt.set(host, now);
      if (isDraftSuccessor(state, host)) effects.push(...startDraftTakeover(state, host, now));
    }
  }
  return effects;
}
