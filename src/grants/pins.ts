import type { OwnedEngine, Pin } from './types.ts';

/** Adds the pin of a grant and updates the counts. */
export function addPin(owned: OwnedEngine, pin: Pin): void {
  owned.pins.set(pin.grant, pin);
  owned.grantByRequest.set(pin.request, pin.grant);
  addToCount(owned.pinsByModel, pin.model, 1);
  addToCount(owned.pinsByFirm, pin.firm, 1);
}

/** Removes a pin and updates the counts; returns whether it existed. */
export function removePin(owned: OwnedEngine, grant: string): boolean {
  const pin = owned.pins.get(grant);
  if (pin === undefined) return false;
  unlinkPinFromRequest(owned, grant);
  owned.pins.delete(grant);
  addToCount(owned.pinsByModel, pin.model, -1);
  addToCount(owned.pinsByFirm, pin.firm, -1);
  return true;
}

/** Keeps a released grant from being sent again; its pin stays until it expires. */
export function unlinkPinFromRequest(owned: OwnedEngine, grant: string): void {
  const request = owned.pins.get(grant)?.request;
  if (request !== undefined && owned.grantByRequest.get(request) === grant)
    owned.grantByRequest.delete(request);
}

/** Returns the last pin of `request`, or undefined when it has none. */
export function getPinByRequest(owned: OwnedEngine, request: string): Pin | undefined {
  const grant = owned.grantByRequest.get(request);
  return grant === undefined ? undefined : owned.pins.get(grant);
}

/**
 * Whether a grant pins `model` or the engine's last report shows running requests for it. Those may
 * come from the previous owner, outlive their pin, or be released after the report was made.
 */
export function isAdapterInUse(owned: OwnedEngine, model: string): boolean {
  return owned.pinsByModel.has(model) || (owned.reportedRunning.get(model) ?? 0) > 0;
}

function addToCount(counts: Map<string, number>, key: string, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
