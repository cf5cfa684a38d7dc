import type { Effect } from '../core/effects.ts';
import { newCount } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import {
  applyQuotaAnswer,
  type DecidedWaiter,
  decideQuota,
  giveBackQuota,
} from '../quotas/usage.ts';
import type { QuotaAnswer } from '../quotas/types.ts';
import { failForward } from './forwardEnd.ts';
import { placeForward } from './forwardPlacement.ts';
import { isResumption, startResumption } from './resumption.ts';
import type { Forward } from './types.ts';

/** Places a request that fits into the quota of its tenant, refuses it, or has it wait for the accountant. */
export function admitToQuota(state: State, forward: Forward, now: number): Effect[] {
  const tenant = state.routeIndex.current?.tenants.get(forward.tenant ?? '');
  if (tenant === undefined) return startForward(state, forward, now);
  const decision = decideQuota(state, tenant, forward.labels, forward.id, now);
  switch (decision.type) {
    case 'admitted':
      forward.quotaCost = decision.cost;
      return startForward(state, forward, now);
    case 'waiting':
      forward.phase = 'awaitingQuota';
      return decision.effects;
    case 'refused':
      return [
        newCount('fireflywick_quota_decisions_total', { result: 'refused' }),
        ...refuseOverQuota(state, forward, decision.returnMs),
      ];
    case 'unknown': {
      const message = 'this host does not know yet which host counts for the quota';
      return failForward(state, forward, Failure.create('not_ready', message));
    }
  }
}

/** Places or refuses the requests that the answer of an accountant decides. */
export function handleQuotaAnswer(state: State, answer: QuotaAnswer, now: number): Effect[] {
  const { decided, effects } = applyQuotaAnswer(state, answer, now);
  return [...effects, ...decided.flatMap((waiter) => endQuotaWait(state, waiter, now))];
}

function endQuotaWait(
  state: State,
  { tenant, request, cost, decision }: DecidedWaiter,
  now: number,
): Effect[] {
  const forward = state.forwards.inFlight.get(request);
  if (forward?.phase !== 'awaitingQuota') {
    // Its caller has left meanwhile, or it has timed out.
    if (decision.type === 'granted') giveBackQuota(state, tenant, cost, now);
    return [];
  }
  if (decision.type === 'refused') return refuseOverQuota(state, forward, decision.returnMs);
  forward.quotaCost = cost;
  return startForward(state, forward, now);
}

function startForward(state: State, forward: Forward, now: number): Effect[] {
  return isResumption(forward)
    ? startResumption(state, forward, now)
    : placeForward(state, forward, now);
}

function refuseOverQuota(state: State, forward: Forward, returnMs: number): Effect[] {
  const message = `the quota of tenant "${forward.tenant ?? ''}" is used up`;
  const retryAfterS = returnMs / 1_000;
  return failForward(state, forward, Failure.create('quota_exceeded', message, { retryAfterS }));
}
