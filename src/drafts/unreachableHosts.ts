import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { isHostUnreachable } from '../membership/reachability.ts';
import { TAKEOVER_RETRY_INTERVAL_MS, HOST_CHECK_INTERVAL_MS } from './constants.ts';
import { isDraftSuccessor, startDraftTakeover } from './draftTakeover.ts';

/** Takes over the drafts of hosts that have had no link for a while, where this host is the one to do so. */
export function takeOverFromUnreachableHosts(state: State, now: number): Effect[] {
  schedule(state, now + HOST_CHECK_INTERVAL_MS, { type: 'checkDraftHosts' });
  const { lastTakeoverAt: takenAt } = state.drafts;
  const effects: Effect[] = [];
  for (const entry of state.membership.hosts.values()) {
    const { host } = entry;
    // A false alarm costs a second run of a draft; its result is written once all the same.
    if (!isHostUnreachable(state, entry, now)) takenAt.delete(host);
    else if ((takenAt.get(host) ?? -Infinity) + TAKEOVER_RETRY_INTERVAL_MS <= now) {
      takenAt.set(host, now);
      if (isDraftSuccessor(state, host)) effects.push(...startDraftTakeover(state, host, now));
    }
  }
  return effects;
}
