import { Err, Ok, type Result } from '../base/result.ts';
import type { State } from '../core/state.ts';
import { getTopicAgeMs } from '../directory/clock.ts';
import { Failure } from '../errors/failure.ts';
import type { Route, RouteIndex } from '../routes/types.ts';
import { KEY_AGE_SHARE, UNCONFIRMED_AFTER_MS, UNPROVEN_RETRY_AFTER_S } from './constants.ts';

/**
 * Returns the tenant that holds the key of a request; undefined on a public route and in a deployment
 * without tenants. Fails with `unauthorized` if no tenant holds the key, and with `unproven_key` if this
 * host can't know whether one does.
 */
export function findTenant(
  state: State,
  { tenantsByKey }: RouteIndex,
  { isPublic }: Route,
  keyDigest: string | undefined,
  now: number,
): Result<string | undefined, Failure> {
  if (tenantsByKey === undefined || isPublic === true) return Ok(undefined);
  const tenant = keyDigest === undefined ? undefined : tenantsByKey.get(keyDigest);
  if (isKeyKnowledgeExpired(state, now))
    return Err(newUnprovenKey('this host has not heard from the directory for too long'));
  if (tenant !== undefined) return Ok(tenant.name);
  if (keyDigest === undefined)
    return Err(Failure.create('unauthorized', 'the request carries no valid key'));
  return isConfirmedLately(state, now)
    ? Err(Failure.create('unauthorized', 'no tenant holds the key of the request'))
    : Err(newUnprovenKey('the key may be newer than what this host knows'));
}

/** Whether keys may have been removed that this host does not know of, for longer than the deployment allows. */
function isKeyKnowledgeExpired(state: State, now: number): boolean {
  const maxAgeMs = state.policy.directory?.maxKeyAgeMs;
  if (maxAgeMs === undefined) return false;
  return getTopicAgeMs(state, 'operator', now) > maxAgeMs * KEY_AGE_SHARE;
}

function isConfirmedLately({ directory }: State, now: number): boolean {
  return directory.topics.operator.confirmedAt + UNCONFIRMED_AFTER_MS > now;
}

function newUnprovenKey(message: string): Failure {
  return Failure.create('unproven_key', message, { retryAfterS: UNPROVEN_RETRY_AFTER_S });
}
