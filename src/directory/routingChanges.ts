import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { RoutingTable } from '../routes/types.ts';
import { getAnnouncedEntry } from './announcedEntries.ts';
import { applyTopicChanges } from './announcements.ts';
import { applyNamedDifference, newNamedDifference } from './namedDifferences.ts';
import type { DirectoryChange, RoutingChange } from './types.ts';
import { requestTopicChanges } from './peerChanges.ts';

/**
 * Returns what changes of the operator's topic changed of the routing table, with the other changes; undefined if they
 * left the table as it was, or if the known table and the difference do not make the new one.
 */
export function newRoutingChange(
  { directory }: State,
  changes: readonly DirectoryChange[],
  after: number,
  upTo: number,
): RoutingChange | undefined {
  const change = changes.find(({ content }) => content.type === 'routing');
  if (change?.content.type !== 'routing') return undefined;
  const { key, version, content } = change;
  const known = getAnnouncedEntry(directory.topics.operator, key);
  if (known?.content.type !== 'routing') return undefined;
  const before = known.content.table;
  const { version: tableVersion, services, limits, ...table } = content.table;
  // Of routes with the same host and prefix the first one counts, so their order is part of the table.
  const routes = newNamedDifference(before.routes, table.routes);
  const tenants = newNamedDifference(before.tenants ?? [], table.tenants ?? []);
  if (routes === undefined || tenants === undefined) return undefined;
  const versions = { after, upTo, version, fromVersion: known.version, tableVersion };
  const hasTenants = table.tenants != null;
  const type = 'routingChanged';
  const others = changes.filter((other) => other !== change);
  return { type, key, ...versions, routes, tenants, hasTenants, services, limits, others };
}

/** Applies a change of the routing table to the one that this host knows, or requests the whole table. */
export function applyRoutingChange(
  state: State,
  change: RoutingChange,
  from: string,
  now: number,
): Effect[] {
  const { key, after, upTo, version, fromVersion, others } = change;
  const known = state.directory.topics.operator.entries.get(key);
  if (known?.content.type !== 'routing' || known.version !== fromVersion)
    return [requestTopicChanges(state, 'operator', from)];
  const content = { type: 'routing' as const, table: mergeTable(known.content.table, change) };
  const changes = [{ key, version, content }, ...others];
  const told = { type: 'topicTold' as const, topic: 'operator' as const, after, upTo, changes };
  return applyTopicChanges(state, told, from, now);
}

function mergeTable(known: RoutingTable, change: RoutingChange): RoutingTable {
  const { tableVersion, routes, tenants, hasTenants, services, limits } = change;
  return {
    version: tableVersion,
    routes: applyNamedDifference(known.routes, routes),
    services,
    limits,
    tenants: hasTenants ? applyNamedDifference(known.tenants ?? [], tenants) : null,
  };
}
