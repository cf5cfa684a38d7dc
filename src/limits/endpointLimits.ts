import type { Effect } from '../core/effects.ts';
import { newGauge, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import type { EndpointView } from '../fleet/types.ts';
import { LIMIT_REPORT_INTERVAL_MS } from './constants.ts';
import { getPermits, isLimited, isPermitOwner } from './permits.ts';
import type { AnnouncedLimit, EndpointLimit, NamedLimit } from './types.ts';

/**
 * Applies what an endpoint says of its limit in the answer to a request that was sent at `sentAt`;
 * returns whether the limit changed.
 */
export function recordNamedLimit(
  state: State,
  view: EndpointView,
  named: NamedLimit,
  sentAt: number,
  now: number,
): boolean {
  if (named.type === 'malformed') return false;
  const perS = named.type === 'rate' ? named.perS : undefined;
  if (perS === view.limit?.perS || isOutdated(view.limit, perS, sentAt)) return false;
  adoptLimit(state, view, perS, (view.limit?.revision ?? 0) + 1, now);
  return true;
}

/** Adopts limits that another host learned of before this one. */
export function applyAnnouncedLimits(
  state: State,
  limits: readonly AnnouncedLimit[],
  from: string,
  now: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const { endpoint, startedAt, perS, revision } of limits) {
    const view = state.fleet.views.get(endpoint);
    if (view?.endpoint.startedAt !== startedAt || !isNewer(view.limit, perS, revision)) continue;
    adoptLimit(state, view, perS, revision, now);
    effects.push(newLimitLog(view, from));
  }
  return effects.length === 0 ? [] : [...effects, newLimitGauge(state)];
}

/** Returns the log lines and the gauge of the limits of endpoints, of which answers told this host. */
export function observeNamedLimits(state: State, views: readonly EndpointView[]): Effect[] {
  const limited = views.filter(({ limit }) => limit !== undefined);
  if (limited.length === 0) return [];
  return [...limited.map((view) => newLimitLog(view, undefined)), newLimitGauge(state)];
}

/** Returns what other hosts have to know of the limit of an endpoint; undefined if it named none. */
export function getAnnouncedLimit({ endpoint, limit }: EndpointView): AnnouncedLimit | undefined {
  if (limit === undefined) return undefined;
  const { perS, revision } = limit;
  return { endpoint: endpoint.id, startedAt: endpoint.startedAt, perS, revision };
}

/** Logs how much of each limit this host handed out since the last report. */
export function reportLimitUse(state: State, now: number): Effect[] {
  const { limits, fleet } = state;
  limits.isReportScheduled = false;
  const effects: Effect[] = [];
  for (const [endpoint, permits] of limits.permits) {
    const view = fleet.views.get(endpoint);
    if (view === undefined || view.isRemoved || !isLimited(view)) {
      if (permits.queue.length === 0) limits.permits.delete(endpoint);
      continue;
    }
    const { role, granted, refused, queue, bucket } = permits;
    permits.granted = 0;
    permits.refused = 0;
    if (granted + refused + queue.length === 0) continue;
    const fields = { endpoint, perS: view.limit?.perS, role, rolePerS: bucket.ratePerS };
    const use = { granted, refused, queued: queue.length, periodMs: LIMIT_REPORT_INTERVAL_MS };
    effects.push(newLog('info', 'use of an endpoint limit', { ...fields, ...use }));
  }
  scheduleReport(state, now);
  return [...effects, newLimitGauge(state)];
}

/**
 * Whether an answer may be older than the known limit: its attempt was sent before this host learned of
 * that. A lower limit is applied all the same, unless it is the one before the last change.
 */
function isOutdated(
  known: EndpointLimit | undefined,
  perS: number | undefined,
  sentAt: number,
): boolean {
  if (known === undefined || sentAt > known.adoptedAt) return false;
  const isLower = (perS ?? Infinity) < (known.perS ?? Infinity);
  return !isLower || perS === known.formerPerS;
}

/** Whether an announced limit goes before the known one; of two with the same revision, the lower one does. */
function isNewer(
  known: EndpointLimit | undefined,
  perS: number | undefined,
  revision: number,
): boolean {
  if (revision !== known?.revision) return revision > (known?.revision ?? 0);
  return (perS ?? Infinity) < (known.perS ?? Infinity);
}

function adoptLimit(
  state: State,
  view: EndpointView,
  perS: number | undefined,
  revision: number,
  now: number,
): void {
  const { id: endpoint } = view.endpoint;
  const { limit: known } = view;
  view.limit = {
    perS,
    formerPerS: known?.perS,
    revision,
    adoptedAt: now,
    nextPermitAt: -Infinity,
  };
  if (isPermitOwner(state, view)) getPermits(state, view, 'owner', now);
  // Requests that wait may have to wait longer now, or no more.
  schedule(state, now, { type: 'servePermits', endpoint });
  if (state.residency.owned.has(endpoint))
    schedule(state, now, { type: 'serveReservations', engine: endpoint });
  scheduleReport(state, now);
}

/** Schedules the next report while an endpoint names a limit. */
function scheduleReport(state: State, now: number): void {
  if (state.limits.isReportScheduled || countLimitedEndpoints(state) === 0) return;
  state.limits.isReportScheduled = true;
  schedule(state, now + LIMIT_REPORT_INTERVAL_MS, { type: 'reportLimitUse' });
}

function newLimitLog({ endpoint, limit }: EndpointView, from: string | undefined): Effect {
  const { id, service } = endpoint;
  const { perS, formerPerS, revision } = limit ?? {};
  return newLog('info', 'endpoint limit changed', {
    endpoint: id,
    service,
    perS,
    formerPerS,
    revision,
    from,
  });
}

function newLimitGauge(state: State): Effect {
  return newGauge('fireflywick_limited_endpoints', {}, countLimitedEndpoints(state));
}

function countLimitedEndpoints({ fleet }: State): number {
  return [...fleet.views.values()].filter((view) => !view.isRemoved && isLimited(view)).length;
}
