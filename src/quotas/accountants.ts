import { getRendezvousChoice, hash32 } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { countRecentLimitSharers } from '../owners/owner.ts';
import { FORMER_MEMBERS_WINDOW_MS, MEMBERS_PER_SHARD, USER_TTL_MS } from './constants.ts';
import type { AccountRole } from './types.ts';

/**
 * Returns the host to which this one reports its use of a tenant: the accountant by the members row, or, if it
 * does not reach that one, another member that it does reach, which may be this host. Undefined without a
 * members row.
 */
export function findAccountant(state: State, tenant: string, now: number): string | undefined {
  const { owners, host, quotas } = state;
  const primary = getPrimary(state, tenant);
  if (primary === undefined) return undefined;
  const isReached = (id: string): boolean =>
    id === host.id ||
    (owners.linkedHosts.has(id) && (quotas.silentUntil.get(id) ?? -Infinity) <= now);
  if (isReached(primary)) return primary;
  const reached = owners.row?.members.filter((member) => isReached(member.host)) ?? [];
  return getRendezvousChoice(
    getShardKey(getShard(state, tenant)),
    reached.map((member) => member.host),
  );
}

/** Returns the role in which this host hands out the quota of a tenant. */
export function getAccountRole(state: State, tenant: string): AccountRole {
  return getPrimary(state, tenant) === state.host.id ? 'primary' : 'substitute';
}

/**
 * Returns the share of a tenant's limit that this host hands out. An accountant has the parts of all members
 * with a link to it, a substitute those of its users, so that all shares add up to the limit.
 */
export function getLimitShare(
  { owners, host }: State,
  role: AccountRole,
  users: ReadonlyMap<string, number>,
  now: number,
): number {
  const members = owners.row?.members ?? [];
  if (members.length === 0) return 0;
  const sharers = countRecentLimitSharers(owners, FORMER_MEMBERS_WINDOW_MS, now);
  const linked = members.filter(
    (member) => member.host === host.id || owners.linkedHosts.has(member.host),
  );
  const active = [...users.values()].filter((reportedAt) => reportedAt + USER_TTL_MS > now);
  const parts = role === 'primary' ? linked.length : active.length;
  return Math.min(1, parts / sharers);
}

/** Returns the monotonic ms since which this host is the accountant of a tenant by the members row. */
export function getPrimarySince(state: State, tenant: string, now: number): number {
  return state.quotas.primarySince.get(getShard(state, tenant)) ?? now;
}

/** Returns the accountant of a tenant by the members row. */
function getPrimary(state: State, tenant: string): string | undefined {
  return state.quotas.primaries[getShard(state, tenant)];
}

/** Chooses the accountants again after the members row changed. */
export function updatePrimaries({ quotas, owners, host, now }: State): void {
  const { row } = owners;
  if (row === undefined) return;
  const members = row.members.map((member) => member.host);
  const hosts = Array.from({ length: countShards(members.length) }, (_, shard) =>
    getRendezvousChoice(getShardKey(shard), members),
  );
  quotas.primaries = hosts;
  for (const shard of quotas.primarySince.keys()) {
    if (hosts[shard] !== host.id) quotas.primarySince.delete(shard);
  }
  hosts.forEach((primary, shard) => {
    if (primary === host.id && !quotas.primarySince.has(shard)) quotas.primarySince.set(shard, now);
  });
}

function getShard({ owners }: State, tenant: string): number {
  return hash32(tenant) % countShards(owners.row?.members.length ?? 1);
}

function countShards(members: number): number {
  return Math.max(1, Math.ceil(members / MEMBERS_PER_SHARD));
}

function getShardKey(shard: number): string {
  return `quota-${shard}`;
}
