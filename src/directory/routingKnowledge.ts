import type { State } from '../core/state.ts';
import { getLoggedTopicAgeMs } from './clock.ts';
import type { ChangeSource } from './types.ts';

/** What a host knew of the routing table at a moment, as the lines about requests say it. */
export interface RoutingKnowledge {
  /** Version of the table; 0 before the first one. */
  routingVersion: number;
  /** Where the host learned the table from, and which host told it. */
  routingSource: ChangeSource['source'] | undefined;
  routingFrom: string | undefined;
  /** Time for which the host had known the table, in ms. */
  routingKnownMs: number | undefined;
  /** Longest time for which the table may have been outdated, in ms; undefined if nothing tells. */
  routingAgeMs: number | undefined;
}

/** Records how the routing table that applies from now on arrived. */
export function recordRoutingSource({ directory }: State, source: ChangeSource, now: number): void {
  directory.routingSource = { ...source, at: now };
}

/** Returns what this host knows of the routing table. */
export function getRoutingKnowledge(state: State, now: number): RoutingKnowledge {
  const { routingSource } = state.directory;
  return {
    routingVersion: state.routeIndex.current?.table.version ?? 0,
    routingSource: routingSource?.source,
    routingFrom: routingSource?.source === 'host' ? routingSource.from : undefined,
    routingKnownMs: routingSource && Math.round(now - routingSource.at),
    routingAgeMs: getLoggedTopicAgeMs(state, 'operator', now),
  };
}
