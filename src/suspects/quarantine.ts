import type { Effect } from '../core/effects.ts';
import { newGauge, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import {
  type Attribute,
  compareBreadth,
  getAttributeKind,
  isSharedAttribute,
  QUARANTINE_RULES,
} from './attributes.ts';
import {
  DECISION_INTERVAL_PER_SUSPECT_MS,
  FREELY_DECIDED_SUSPECTS,
  MAX_DECISION_INTERVAL_MS,
  MAX_LOGGED_ATTRIBUTES,
  MIN_CRASH_STREAK,
  SUSPECT_TTL_MS,
} from './constants.ts';
import { getCountedCrashes, getCrashedRuns } from './mergeSuspects.ts';
import type { Suspect, Suspects } from './types.ts';

/** A quarantine that keeps a request from running. */
export interface Quarantine {
  attribute: string;
  /** Time in ms until a trial may run; Infinity if there is none. */
  remainingMs: number;
}

/** Returns the quarantine that lasts longest among the attributes of a request, if there is one. */
export function getQuarantine(
  state: State,
  attributes: readonly Attribute[],
  now: number,
): Quarantine | undefined {
  let longest: Quarantine | undefined;
  for (const { key } of attributes) {
    const remainingMs = getRemainingMs(state, key, now);
    if (remainingMs > (longest?.remainingMs ?? 0)) longest = { attribute: key, remainingMs };
  }
  return longest;
}

/** Whether requests with the attribute must not run now. */
export function isQuarantined(state: State, key: string, now: number): boolean {
  return getRemainingMs(state, key, now) > 0;
}

/** Returns the monotonic ms of the last change of a suspect; -Infinity for an unknown one. */
export function getSuspectChangedAt({ suspects }: State, key: string): number {
  return (suspects.expiresAt.get(key) ?? -Infinity) - SUSPECT_TTL_MS;
}

/** Returns the records of a request's quarantined attributes with one more trial. */
export function newTrials({ suspects }: State, attributes: readonly Attribute[]): Suspect[] {
  return attributes.flatMap(({ key }) => {
    const suspect = suspects.byAttribute.get(key);
    const isTrial = suspect !== undefined && suspects.quarantined.has(key);
    return isTrial ? [{ ...suspect, trials: suspect.trials + 1 }] : [];
  });
}

/**
 * Decides again which attributes are quarantined, at once or after the interval between two decisions; called
 * after each change of the records.
 */
export function updateQuarantines(state: State, now: number): Effect[] {
  const { suspects } = state;
  const intervalMs = getDecisionIntervalMs(suspects);
  const dueAt = suspects.decidedAt + intervalMs;
  if (intervalMs === 0 || now >= dueAt) return decideQuarantines(state, now);
  if (suspects.isDecisionScheduled) return [];
  suspects.isDecisionScheduled = true;
  schedule(state, dueAt, { type: 'decideQuarantines' });
  return [];
}

/** Decides which attributes are quarantined. Requests in flight that have a new one are ended by a timer. */
export function decideQuarantines(state: State, now: number): Effect[] {
  state.suspects.decidedAt = now;
  return [...logReports(state.suspects), ...replaceQuarantines(state, now)];
}

function replaceQuarantines(state: State, now: number): Effect[] {
  const { suspects } = state;
  const before = suspects.quarantined;
  const quarantined = findCauses(suspects);
  suspects.quarantined = quarantined;
  const added = [...quarantined].filter((key) => !before.has(key));
  const lifted = [...before].filter((key) => !quarantined.has(key));
  if (added.length === 0 && lifted.length === 0) return [];
  if (added.length > 0) schedule(state, now, { type: 'endQuarantinedForwards' });
  return [
    ...added.map((key) => newQuarantineLog(suspects, key)),
    ...lifted.map((attribute) => newLog('warn', 'quarantine is lifted', { attribute })),
    newGauge('fireflywick_quarantined_attributes', {}, quarantined.size),
  ];
}

function getDecisionIntervalMs({ active }: Suspects): number {
  const costly = Math.max(0, active.size - FREELY_DECIDED_SUSPECTS);
  return Math.min(MAX_DECISION_INTERVAL_MS, costly * DECISION_INTERVAL_PER_SUSPECT_MS);
}

/** Returns one log line of what other hosts have reported since the last decision. */
function logReports({ reports: { hosts, attributes } }: Suspects): Effect[] {
  if (hosts.size === 0) return [];
  const fields = {
    from: [...hosts],
    attributes: [...attributes].slice(0, MAX_LOGGED_ATTRIBUTES),
    changed: attributes.size,
  };
  hosts.clear();
  attributes.clear();
  return [newLog('info', 'suspects updated by peer report', fields)];
}

/**
 * Returns the attributes that explain the crashes: those with the most crashes first, the narrower
 * first among equals. Crashes that one explains do not count against the others.
 */
function findCauses({ byAttribute, active }: Suspects): Set<string> {
  const causes = new Set<string>();
  const explained = new Set<string>();
  const candidates = [...active]
    .flatMap((key) => byAttribute.get(key) ?? [])
    .map((suspect) => ({ suspect, runs: getCrashedRuns(suspect) }))
    .sort((a, b) => b.runs.size - a.runs.size || compareSuspects(a.suspect, b.suspect));
  for (const { suspect, runs } of candidates) {
    if (!isCause(suspect, [...runs].filter((run) => !explained.has(run)).length)) continue;
    causes.add(suspect.attribute);
    for (const run of runs) explained.add(run);
  }
  return causes;
}

function isCause(suspect: Suspect, unexplainedRuns: number): boolean {
  const { attribute, isQuarantined: isConclusive, isProven, requests, streak } = suspect;
  if (isConclusive) return true;
  const { minCrashes, minRequests } = QUARANTINE_RULES[getAttributeKind(attribute)];
  if (!isSharedAttribute(attribute)) return getCountedCrashes(suspect).length >= minCrashes;
  if (requests.length < minRequests || unexplainedRuns < minCrashes) return false;
  return !isProven || streak >= MIN_CRASH_STREAK;
}

function compareSuspects(a: Suspect, b: Suspect): number {
  return compareBreadth({ key: a.attribute, depth: a.depth }, { key: b.attribute, depth: b.depth });
}

function getRemainingMs(state: State, key: string, now: number): number {
  const { suspects } = state;
  const suspect = suspects.byAttribute.get(key);
  if (suspect === undefined || !suspects.quarantined.has(key)) return 0;
  if (suspect.isQuarantined) return Infinity;
  const { quarantineMs } = QUARANTINE_RULES[getAttributeKind(key)];
  return getSuspectChangedAt(state, key) + (quarantineMs[suspect.trials] ?? Infinity) - now;
}

function newQuarantineLog({ byAttribute }: Suspects, attribute: string): Effect {
  const { crashes = [], requests, streak, isProven } = byAttribute.get(attribute) ?? {};
  const fields = {
    attribute,
    kind: getAttributeKind(attribute),
    crashes,
    requests,
    streak,
    isProven,
  };
  return newLog('warn', 'attribute is quarantined', fields);
}
