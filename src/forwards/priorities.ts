import type { State } from '../core/state.ts';
import type { Forward } from './types.ts';

/** Priority of a tenant that names none, and the priorities of routes that count within one of a tenant. */
const DEFAULT_TENANT_PRIORITY = 1;
const ROUTE_PRIORITIES = 10;
/** Priorities that engines know, 0 being the most urgent, and the one of routes of priority 0. */
const LEAST_ENGINE_PRIORITY = 9;
const ENGINE_PRIORITY_BASE = 4;
/** Priorities of routes that engines tell apart within one of a tenant. */
const ENGINE_ROUTE_PRIORITIES = 3;

/** Returns the rank of a request in queues, 0 being the most urgent: its tenant's priority, then its route's. */
export function getRank(state: State, forward: Forward): number {
  const { priority } = forward.route;
  const tenantPriority = getTenantPriority(state, forward);
  if (tenantPriority === undefined) return priority;
  return tenantPriority * ROUTE_PRIORITIES + Math.min(priority, ROUTE_PRIORITIES - 1);
}

/** Returns the priority that an engine is told. */
export function getEnginePriority(state: State, forward: Forward): number {
  const { priority } = forward.route;
  const tenantPriority = getTenantPriority(state, forward);
  const rank =
    tenantPriority === undefined
      ? priority + ENGINE_PRIORITY_BASE
      : tenantPriority * ENGINE_ROUTE_PRIORITIES + Math.min(priority, ENGINE_ROUTE_PRIORITIES - 1);
  return Math.min(LEAST_ENGINE_PRIORITY, rank);
}

/** Returns the priority of the caller's tenant; undefined without tenants. */
function getTenantPriority({ routeIndex }: State, { tenant }: Forward): number | undefined {
  const routing = routeIndex.current;
  if (routing?.tenantsByKey === undefined) return undefined;
  return routing.tenants.get(tenant ?? '')?.priority ?? DEFAULT_TENANT_PRIORITY;
}
