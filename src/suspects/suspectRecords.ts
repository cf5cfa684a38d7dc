import type { Effect } from '../core/effects.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { MAX_KNOWN_SUSPECTS, SUSPECT_TTL_MS } from './constants.ts';
import { getCountedCrashes, isSameSuspect, mergeSuspects } from './mergeSuspects.ts';
import { updateQuarantines } from './quarantine.ts';
import type { Suspect, Suspects } from './types.ts';

/** Merges records into the known suspects; returns the merged records that changed. */
export function mergeKnownSuspects(
  state: State,
  suspects: readonly Suspect[],
  now: number,
): Suspect[] {
  return suspects.flatMap((suspect) => mergeKnownSuspect(state, suspect, now) ?? []);
}

/** Removes a suspect whose retention time has ended. */
export function expireSuspect(state: State, attribute: string, now: number): Effect[] {
  if ((state.suspects.expiresAt.get(attribute) ?? Infinity) > now) return [];
  dropSuspect(state.suspects, attribute);
  return updateQuarantines(state, now);
}

function mergeKnownSuspect(state: State, suspect: Suspect, now: number): Suspect | undefined {
  const { byAttribute, active, expiresAt, completions } = state.suspects;
  const { attribute } = suspect;
  const known = byAttribute.get(attribute);
  const merged = known === undefined ? suspect : mergeSuspects(known, suspect);
  if (known !== undefined && isSameSuspect(known, merged)) return undefined;
  const isProven = merged.isProven || completions.has(attribute, now);
  const next = { ...merged, isProven };
  // Deleted first, so that the map stays ordered by last change.
  byAttribute.delete(attribute);
  byAttribute.set(attribute, next);
  if (getCountedCrashes(next).length > 0) active.add(attribute);
  else active.delete(attribute);
  dropExcessSuspect(state.suspects);
  expiresAt.set(attribute, now + SUSPECT_TTL_MS);
  schedule(state, now + SUSPECT_TTL_MS, { type: 'suspectExpiry', attribute });
  return next;
}

function dropExcessSuspect(suspects: Suspects): void {
  const { byAttribute, active, quarantined } = suspects;
  if (byAttribute.size <= MAX_KNOWN_SUSPECTS) return;
  const keys = [...byAttribute.keys()];
  const dropped =
    keys.find((key) => !active.has(key)) ?? keys.find((key) => !quarantined.has(key)) ?? keys[0];
  if (dropped !== undefined) dropSuspect(suspects, dropped);
}

function dropSuspect({ byAttribute, active, expiresAt }: Suspects, attribute: string): void {
  byAttribute.delete(attribute);
  active.delete(attribute);
  expiresAt.delete(attribute);
}
