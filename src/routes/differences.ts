import { isDeepStrictEqual } from 'node:util';
import type { RoutingTable } from './types.ts';

/** One thing that differs between two routing tables. */
export interface Difference {
  kind: 'route' | 'service' | 'tenant' | 'limit';
  name: string;
  change: 'added' | 'removed' | 'changed';
  /** Fields that differ, with their values before and after; keys are counted and not shown. */
  fields: { field: string; before: string; after: string }[];
}

type Named = Record<string, unknown>;

/** Returns what differs from the table in force, in the order in which a person reads it: what goes, comes, changes. */
export function compareRoutingTables(before: RoutingTable, after: RoutingTable): Difference[] {
  const differences = [
    ...compareNamed('route', before.routes, after.routes),
    ...compareNamed('service', before.services, after.services),
    ...compareNamed('tenant', before.tenants ?? [], after.tenants ?? []),
    ...compareLimits(before, after),
  ];
  const order = ['removed', 'added', 'changed'];
  return differences.sort((a, b) => order.indexOf(a.change) - order.indexOf(b.change));
}

function compareNamed<T extends { name: string }>(
  kind: Difference['kind'],
  before: readonly T[],
  after: readonly T[],
): Difference[] {
  const known = new Map(before.map((item) => [item.name, item]));
  const present = new Set(after.map(({ name }) => name));
  const removed = before
    .filter(({ name }) => !present.has(name))
    .map(({ name }) => ({ kind, name, change: 'removed' as const, fields: [] }));
  const others = after.flatMap((item): Difference[] => {
    const former = known.get(item.name);
    const { name } = item;
    if (former === undefined) return [{ kind, name, change: 'added', fields: [] }];
    const fields = compareFields(former, item);
    return fields.length === 0 ? [] : [{ kind, name, change: 'changed', fields }];
  });
  return [...removed, ...others];
}

function compareLimits(before: RoutingTable, after: RoutingTable): Difference[] {
  return compareFields(before.limits, after.limits).map((field) => ({
    kind: 'limit',
    name: field.field,
    change: 'changed',
    fields: [field],
  }));
}

function compareFields(before: Named, after: Named): Difference['fields'] {
  const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...fields]
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map((field) => ({
      field: field === 'keyDigests' ? 'keys' : field,
      before: describeValue(field, before[field]),
      after: describeValue(field, after[field]),
    }));
}

function describeValue(field: string, value: unknown): string {
  if (field === 'keyDigests') return `${Array.isArray(value) ? value.length : 0} keys`;
  return value === undefined ? 'none' : JSON.stringify(value);
}
