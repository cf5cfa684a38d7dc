import { sendMessage } from '../core/sendMessage.ts';
import type { Effect } from '../core/effects.ts';
import { newCount, newObserve } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { Failure } from '../errors/failure.ts';
import { recordCompletion } from '../suspects/crashes.ts';
import type { Request } from './types.ts';

/** Fails a request and releases its grant or grant request. */
export function failRequest(state: State, request: Request, failure: Failure): Effect[] {
  const effects = releaseGrant(state, request);
  removeRequest(state, request);
  return [
    ...effects,
    newCount('fireflywick_requests_total', getLabels(request, failure.kind)),
    ...deliverFailure(state, request, failure),
  ];
}

/** Delivers a failure to the caller, or to the draft that the request runs for. */
export function deliverFailure(
  state: State,
  { id, draft }: Pick<Request, 'id' | 'draft'>,
  failure: Failure,
  now = 0,
): Effect[] {
  if (draft === undefined) return [{ type: 'failRequest', id, failure }];
  schedule(state, now, { type: 'draftRequestFailed', id, draft, failure });
  return [];
}

/** Completes a request whose whole response was relayed. */
export function finishRequest(state: State, request: Request, now: number): Effect[] {
  removeRequest(state, request);
  const labels = { firm: request.firm, kind: request.kind };
  return [
    newCount('fireflywick_requests_total', getLabels(request, 'completed')),
    newObserve('fireflywick_load_stall_ms', labels, request.loadStallMs),
    newObserve('fireflywick_request_duration_ms', labels, now - request.arrivedAt),
    ...recordCompletion(state, [request.fingerprint], now),
    { type: 'finishRequest', id: request.id },
  ];
}

/** Releases the grant of a request, or withdraws its unanswered grant request. */
export function releaseGrant(state: State, request: Request): Effect[] {
  const held = request.attempt ?? request.pendingGrant;
  if (held === undefined) return [];
  const grant = request.attempt?.grant ?? '';
  return [
    sendMessage(state, held.owner, {
      type: 'grantReleased',
      request: request.id,
      engine: held.engine,
      grant,
      bootId: request.attempt?.bootId ?? '',
      result: grant === '' ? 'unused' : 'failed',
    }),
  ];
}

function removeRequest(state: State, request: Request): void {
  const { inFlight, countByCaller, countByFirm } = state.requests;
  if (!inFlight.delete(request.id)) return;
  decrementCount(countByFirm, request.firm);
  if (request.draft === undefined) decrementCount(countByCaller, getCallerKey(request));
}

/** Includes the firm, since caller names are unique only within a firm. */
export function getCallerKey({ firm, caller }: { firm: string; caller: string }): string {
  return `${firm}/${caller}`;
}

function decrementCount(counts: Map<string, number>, key: string): void {
  const count = (counts.get(key) ?? 1) - 1;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}

function getLabels(request: Request, result: string): Record<string, string> {
  return { firm: request.firm, kind: request.kind, result };
}
