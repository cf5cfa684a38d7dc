import type { EngineReport } from '../engines/types.ts';
import { REPORT_LAG_MS } from './constants.ts';
import type { OwnedEngine, Pin } from './types.ts';

export function addPin(owned: OwnedEngine, pin: Pin): void {
  owned.pins.set(pin.grant, pin);
  addTo(owned.pinned, pin.model, 1);
  addTo(owned.pinsByFirm, pin.firm, 1);
}

/** Removes a pin; returns whether it existed. */
export function removePin(owned: OwnedEngine, grant: string, now: number): boolean {
  const pin = owned.pins.get(grant);
  if (pin === undefined) return false;
  owned.pins.delete(grant);
  addTo(owned.pinned, pin.model, -1);
  addTo(owned.pinsByFirm, pin.firm, -1);
  owned.released.push({ model: pin.model, at: now });
  return true;
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
  owned.unexplained.clear();
  for (const [model, running] of Object.entries(report.running)) {
    if (running > (explained.get(model) ?? 0)) owned.unexplained.add(model);
  }
}

function addTo(counts: Map<string, number>, key: string, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
