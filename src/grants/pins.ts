import type { EngineReport } from '../engines/types.ts';
import { REPORT_LAG_MS } from './constants.ts';
import type { OwnedEngine, Pin } from './types.ts';

export function addPin(owned: OwnedEngine, pin: Pin): void {
  owned.pins.set(pin.grant, pin);
  owned.grantOf.set(pin.request, pin.grant);
  addTo(owned.pinned, pin.model, 1);
  addTo(owned.pinsByFirm, pin.firm, 1);
}

/** Removes a pin; returns whether it existed. */
export function removePin(owned: OwnedEngine, grant: string, now: number): boolean {
  const pin = owned.pins.get(grant);
  if (pin === undefined) return false;
  owned.pins.delete(grant);
  if (owned.grantOf.get(pin.request) === grant) owned.grantOf.delete(pin.request);
  addTo(owned.pinned, pin.model, -1);
  addTo(owned.pinsByFirm, pin.firm, -1);
  owned.released.push({ model: pin.model, at: now });
  return true;
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
