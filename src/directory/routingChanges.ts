import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import type { Route, RoutingTable } from '../routes/types.ts';
import { applyTopicChanges } from './announcements.ts';
import type { DirectoryChange, RoutingChange } from './types.ts';
import { requestTopicChanges } from './watch.ts';

/**
 * Returns what a change of the operator's topic changed of the routing table; undefined if it changed more than
 * the table, or if the known table and the difference do not make the new one.
 */
export function newRoutingChange(
  { directory }: State,
  changes: readonly DirectoryChange[],
  after: number,
  upTo: number,
): RoutingChange | undefined {
  const [change] = changes;
  if (changes.length !== 1 || change?.content.type !== 'routing') return undefined;
  const { key, version, content } = change;
  const known = directory.topics.operator.entries.get(key);
  if (known?.content.type !== 'routing') return undefined;
  const before = known.content.table;
  const { table } = content;
  const knownRoutes = new Map(before.routes.map((route) => [route.name, route]));
  const names = new Set(table.routes.map(({ name }) => name));
  const changed = table.routes.filter((route) => !isSame(knownRoutes.get(route.name), route));
  const removed = [...knownRoutes.keys()].filter((name) => !names.has(name));
  // Of routes with the same host and prefix the first one counts, so their order is part of the table.
  const merged = mergeRoutes(before.routes, changed, removed);
  if (!isSame(getNames(merged), getNames(table.routes))) return undefined;
  return {
    type: 'routingChanged',
    key,
    after,
    upTo,
    version,
    fromVersion: known.version,
    tableVersion: table.version,
    changed,
    removed,
    services: table.services,
    limits: table.limits,
    tenants: isSame(before.tenants, table.tenants) ? undefined : table.tenants,
  };
}

/** Applies a change of the routing table to the one that this host knows, or requests the whole table. */
export function applyRoutingChange(
  state: State,
  change: RoutingChange,
  from: string,
  now: number,
): Effect[] {
  const { key, after, upTo, version, fromVersion } = change;
  const known = state.directory.topics.operator.entries.get(key);
  if (known?.content.type !== 'routing' || known.version !== fromVersion)
    return [requestTopicChanges(state, 'operator', from)];
  const content = { type: 'routing' as const, table: mergeTable(known.content.table, change) };
  const changes = [{ key, version, content }];
  return applyTopicChanges(
    state,
    { type: 'topicTold', topic: 'operator', after, upTo, changes },
    now,
  );
}

function mergeTable(known: RoutingTable, change: RoutingChange): RoutingTable {
  const { tableVersion, changed, removed, services, limits, tenants = known.tenants } = change;
  const routes = mergeRoutes(known.routes, changed, removed);
  return { version: tableVersion, routes, services, limits, tenants };
}

/** Returns the known routes with those that changed in their places, without those removed, and the new ones last. */
function mergeRoutes(
  known: readonly Route[],
  changed: readonly Route[],
  removed: readonly string[],
): Route[] {
  const gone = new Set(removed);
  const replacements = new Map(changed.map((route) => [route.name, route]));
  const kept = known
    .filter(({ name }) => !gone.has(name))
    .map((route) => replacements.get(route.name) ?? route);
  const names = new Set(getNames(kept));
  return [...kept, ...changed.filter(({ name }) => !names.has(name))];
}

function getNames(routes: readonly Route[]): string[] {
  return routes.map(({ name }) => name);
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
