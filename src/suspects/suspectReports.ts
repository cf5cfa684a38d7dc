import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import { MAX_SENT_SUSPECTS } from './constants.ts';
import { scheduleRowWrite, writeSuspectsRow } from './directorySuspects.ts';
import { updateQuarantines } from './quarantine.ts';
import { mergeKnownSuspects } from './suspectRecords.ts';
import { readSuspectRow } from './suspectRows.ts';
import type { Suspect } from './types.ts';

/** Merges local changes, sends them to all linked hosts and starts the update of what is stored. */
export function publishSuspects(state: State, suspects: readonly Suspect[], now: number): Effect[] {
  const changed = mergeKnownSuspects(state, suspects, now);
  if (changed.length === 0) return [];
  return [
    ...newSuspectReports(state, changed, getLinkedHosts(state)),
    ...updateQuarantines(state, now),
    ...storeSuspects(state, changed),
  ];
}

/** Merges local changes that other hosts need not be told. */
export function updateSuspects(state: State, suspects: readonly Suspect[], now: number): Effect[] {
  const changed = mergeKnownSuspects(state, suspects, now);
  return changed.length === 0 ? [] : updateQuarantines(state, now);
}

/** Merges a peer's report, and tells it which of the attributes have been completed here. */
export function handleSuspectReport(
  state: State,
  suspects: readonly Suspect[],
  from: string,
  now: number,
): Effect[] {
  const outdated = getNewerSuspects(state, suspects);
  const answers = newSuspectReports(state, outdated, [from]);
  const changed = mergeKnownSuspects(state, suspects, now);
  if (changed.length === 0) return answers;
  // The reporting host may not know of crashes that others reported at the same time.
  if (state.policy.directory !== undefined) scheduleRowWrite(state, now);
  const { hosts, attributes } = state.suspects.reports;
  hosts.add(from);
  for (const { attribute } of changed) attributes.add(attribute);
  const proven = changed.filter((suspect) => {
    const reported = suspects.find(({ attribute }) => attribute === suspect.attribute);
    return suspect.isProven && reported?.isProven !== true;
  });
  return [
    ...answers,
    ...newSuspectReports(state, proven, [from]),
    ...newSuspectReports(state, changed, getHostsToForwardTo(state, from)),
    ...updateQuarantines(state, now),
  ];
}

/**
 * Sends known suspects to a host whose link opened, since it may have missed reports: first those that
 * still count, and of these the last that changed.
 */
export function sendKnownSuspects(state: State, host: string): Effect[] {
  const { byAttribute, active } = state.suspects;
  const known = [...byAttribute.values()].reverse();
  const counted = known.filter(({ attribute }) => active.has(attribute));
  const cleared = known.filter(({ attribute }) => !active.has(attribute));
  return newSuspectReports(state, [...counted, ...cleared].slice(0, MAX_SENT_SUSPECTS), [host]);
}

/** Returns the report of suspects to other hosts. */
export function newSuspectReports(
  state: State,
  suspects: readonly Suspect[],
  hosts: readonly string[],
): Effect[] {
  if (suspects.length === 0) return [];
  const report = { type: 'suspectsReported' as const, suspects: [...suspects] };
  return hosts
    .filter((host) => host !== state.host.id)
    .map((host) => sendMessage(state, host, report));
}

/** Returns the known records of suspects that were cleared since the reported ones were written. */
function getNewerSuspects({ suspects }: State, reported: readonly Suspect[]): Suspect[] {
  return reported.flatMap(({ attribute, generation }) => {
    const known = suspects.byAttribute.get(attribute);
    return known !== undefined && known.generation > generation ? [known] : [];
  });
}

function storeSuspects(state: State, changed: readonly Suspect[]): Effect[] {
  if (state.policy.directory !== undefined) return writeSuspectsRow(state);
  return changed.map(({ attribute }) => readSuspectRow(attribute));
}

function getLinkedHosts({ policy, owners, membership }: State): string[] {
  return [...(policy.directory === undefined ? membership.linkedHosts : owners.linkedHosts)];
}

/**
 * Returns the linked hosts outside of a peer's zone, as not all hosts of different zones are linked. The
 * reporting host of a gateway deployment has sent its report to all others itself.
 */
function getHostsToForwardTo({ policy, membership }: State, from: string): string[] {
  if (policy.directory !== undefined) return [];
  const { hosts, linkedHosts } = membership;
  const zone = hosts.get(from)?.zone;
  return [...linkedHosts].filter((host) => {
    return host !== from && (zone === undefined || hosts.get(host)?.zone !== zone);
  });
}
