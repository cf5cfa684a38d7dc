import { DecayingCounter } from '../base/decayingCounter.ts';
import type { State } from '../core/state.ts';
import { OVERUSE_RATIO, TENANT_USE_HALF_LIFE_MS } from './constants.ts';
import type { EngineResidency } from './types.ts';

/** What a tenant used of something that is shared, and its weight in the sharing. */
export interface WeightedUse {
  tenant: string;
  units: number;
  weight: number;
}

/**
 * Returns the tenants that used clearly more than their weighted share, while others wait or use the same; for
 * the load of one tenant that sends many times its usual.
 */
export function getOverusers(uses: readonly WeightedUse[]): Set<string> {
  const units = uses.reduce((sum, use) => sum + use.units, 0);
  const weights = uses.reduce((sum, use) => sum + use.weight, 0);
  if (units === 0 || weights === 0) return new Set();
  const overusers = uses.filter(
    (use) => use.units / units > (OVERUSE_RATIO * use.weight) / weights,
  );
  return new Set(overusers.map(({ tenant }) => tenant));
}

/** Returns the tenants that were granted more than their share of an engine lately, of those that use it. */
export function findOverusers(state: State, owned: EngineResidency, now: number): Set<string> {
  const { tenantUse, queue } = owned;
  const waiting = queue.flatMap(({ tenant }) => (tenant === undefined ? [] : [tenant]));
  const tenants = new Set([...tenantUse.keys(), ...waiting]);
  if (tenants.size < 2) return new Set();
  const uses = [...tenants].map((tenant) => ({
    tenant,
    units: tenantUse.get(tenant)?.getValue(now) ?? 0,
    weight: getWeight(state, tenant),
  }));
  for (const { tenant, units } of uses) if (units < 1) tenantUse.delete(tenant);
  return getOverusers(uses);
}

/** Records tokens that were granted to a tenant. */
export function recordTenantUse(
  { tenantUse }: EngineResidency,
  tenant: string | undefined,
  tokens: number,
  now: number,
): void {
  if (tenant === undefined) return;
  const known = tenantUse.get(tenant);
  const counter = known ?? DecayingCounter.create(TENANT_USE_HALF_LIFE_MS, now);
  if (known === undefined) tenantUse.set(tenant, counter);
  counter.add(now, tokens);
}

/** Returns the weight of a tenant: what its quota allows, or that of others without a quota. */
function getWeight({ routeIndex }: State, name: string): number {
  return Math.max(1, routeIndex.current?.tenants.get(name)?.ratePerS ?? 0);
}
