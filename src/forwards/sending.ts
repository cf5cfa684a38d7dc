import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import {
  MAX_BACKOFFS,
  MAX_SENDS,
  MIN_ATTEMPT_MS,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
} from './constants.ts';
import { recordSend } from '../notices/pauses.ts';
import { getRelay } from '../paths/relayChoice.ts';
import { getQuarantine } from '../suspects/quarantine.ts';
import { abandonForward } from './forwardEnd.ts';
import { getSentAttributes } from './crashEvidence.ts';
import { refuseInvalidKey } from './keyChecks.ts';
import { endQuarantined, startTrial } from './quarantinedForwards.ts';
import { getEnginePriority } from './priorities.ts';
import { consumeServiceRetry, observeRetry } from './retryBudgets.ts';
import type { Forward } from './types.ts';

/**
 * Sends a request to an endpoint; abandons it when it is quarantined, or when too little time or no
 * retry budget is left.
 */
export function sendAttempt(
  state: State,
  forward: Forward,
  view: EndpointView,
  owner: string | undefined,
  version: number | undefined,
  now: number,
): Effect[] {
  // Other requests with its attributes may have crashed endpoints while this one waited.
  const quarantine = getQuarantine(state, forward.attributes, now);
  if (quarantine !== undefined && !forward.isTrial)
    return endQuarantined(state, forward, quarantine);
  const refused = refuseInvalidKey(state, forward, now);
  if (refused !== undefined) return refused;
  if (forward.deadlineAt - now < MIN_ATTEMPT_MS)
    return abandonForward(state, forward, 'too little time is left before the deadline');
  const retryObservations: Effect[] = [];
  if (forward.sends > 0) {
    const isAllowed = consumeServiceRetry(state, forward.service, now);
    retryObservations.push(...observeRetry(state, forward, isAllowed, now));
    if (!isAllowed) {
      const reason = `the retry budget is exhausted: ${forward.lastReason}`;
      return [...retryObservations, ...abandonForward(state, forward, reason)];
    }
  }
  forward.sends += 1;
  forward.sentAt ??= now;
  forward.phase = 'running';
  forward.pendingReservation = undefined;
  view.inFlight += 1;
  recordSend(view, now);
  const { id: endpoint, address, startedAt: endpointStartedAt, softwareVersion } = view.endpoint;
  const relay = getRelay(state, view, now);
  const attempt = `${forward.id}.${forward.sends}`;
  const sent = getSentAttributes(state, forward.attributes);
  forward.lastSoftwareVersion = softwareVersion;
  forward.attempt = {
    id: attempt,
    endpoint,
    endpointStartedAt,
    softwareVersion,
    owner,
    relay: relay?.host,
    startedAt: now,
    sent,
  };
  const { route, labels } = forward;
  return [
    ...retryObservations,
    ...startTrial(state, forward, now),
    {
      type: 'sendForward',
      spec: {
        id: forward.id,
        attempt,
        endpoint,
        address,
        relay,
        hasOwnConnection: forward.refusedBy.has(endpoint),
        endpointStartedAt,
        sentAt: now,
        isStream: route.kind === 'stream',
        deadlineAt: forward.deadlineAt,
        priority: labels.model === '' ? undefined : getEnginePriority(state, forward),
        version,
        resumeAfter: forward.lastEventId,
        tenant: getTenantLabel(state, forward),
      },
    },
  ];
}

/** Returns the tenant as the endpoint learns it; undefined if the deployment has no tenants. */
function getTenantLabel({ routeIndex }: State, { tenant }: Forward): string | undefined {
  if (tenant !== undefined) return tenant;
  return routeIndex.current?.tenantsByKey === undefined ? undefined : '';
}

/**
 * Schedules the next placement of a request after a backoff; abandons it after too many of them.
 */
export function scheduleRetry(
  state: State,
  forward: Forward,
  reason: string,
  now: number,
): Effect[] {
  forward.lastReason = reason;
  forward.pendingReservation = undefined;
  forward.backoffs += 1;
  if (forward.backoffs > MAX_BACKOFFS) return abandonForward(state, forward, reason);
  if (forward.sends >= MAX_SENDS) {
    return abandonForward(state, forward, `not served after ${forward.sends} attempts: ${reason}`);
  }
  forward.phase = 'backoff';
  forward.reservationRequestNumber += 1;
  const limit = Math.min(
    RETRY_MAX_MS,
    RETRY_BASE_MS * 2 ** Math.min(8, forward.reservationRequestNumber),
  );
  const at = now + limit * (0.5 + state.random.getFraction() / 2);
  schedule(state, at, { type: 'forwardRetry', id: forward.id });
  return [];
}
