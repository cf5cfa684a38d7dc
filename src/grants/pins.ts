import type { EngineReport } from '../engines/types.ts';
import { REPORT_LAG_MS } from './constants.ts';
import type { OwnedEngine, Pin } from './types.ts';

export function addPin(owned: OwnedEngine, pin: Pin): void {
  owned.pins.set(pin.grant, pin);
  owned.grantOf.set(pin.request, pin.grant);
  addTo(owned.pinned, pin.model, 1);
  addTo(owned.pinsByFirm, pin.firm, 1);
}

/**
 * Removes a pin; returns whether it existed. With `endedAt`, the request has ended by then, and an
 * older report that still shows it is no reason to keep the adapter.
 */
export function removePin(owned: OwnedEngine, grant: string, endedAt?: number): boolean {
  const pin = owned.pins.get(grant);
  if (pin === undefined) return false;
  endPin(owned, grant);
  owned.pins.delete(grant);
  addTo(owned.pinned, pin.model, -1);
  addTo(owned.pinsByFirm, pin.firm, -1);
  if (endedAt !== undefined) owned.released.push({ model: pin.model, at: endedAt });
  return true;
}

/** Keeps a released grant from being given again; its pin stays until it expires. */
export function endPin(owned: OwnedEngine, grant: string): void {
  const request = owned.pins.get(grant)?.request;
  if (request !== undefined && owned.grantOf.get(request) === grant) owned.grantOf.delete(request);
}

/** Returns the last pin of `request`, or undefined when it has none. */
export function getPinOf(owned: OwnedEngine, request: string): Pin | undefined {
  const grant = owned.grantOf.get(request);
  return grant === undefined ? undefined : owned.pins.get(grant);
}

/** Whether a grant pins `model`, or the engine reported requests for it that no grant explains. */
export function isInUse(owned: OwnedEngine, model: string): boolean {
  return owned.pinned.has(model) || owned.unexplained.has(model);
}

/**
 * Records which adapters the engine runs beyond this host's grants: requests that a predecessor
 * granted, or whose pin expired. A report lags, so requests released shortly before count as
 * explained.
 */
export function updateUnexplained(owned: OwnedEngine, report: EngineReport, now: number): void {
  owned.released = owned.released.filter(({ at }) => at + REPORT_LAG_MS > now);
  const explained = new Map(owned.pinned);
  for (const { model } of owned.released) addTo(explained, model, 1);
  owned.reported = new Map(Object.entries(report.running));
  owned.unexplained.clear();
  for (const [model, running] of owned.reported) {
    if (running > (explained.get(model) ?? 0)) owned.unexplained.add(model);
  }
}

function addTo(counts: Map<string, number>, key: string, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
