import type { HostEntry, HostState } from './types.ts';

const STATE_ORDER: Record<HostState, number> = { gone: 0, joining: 1, live: 2, leaving: 3 };

/**
 * Merges two entries of one host: the greater (incarnation, revision) wins, and within one
 * incarnation the configuration revision never falls. Commutative, associative and idempotent.
 */
export function mergeEntries(a: HostEntry, b: HostEntry): HostEntry {
  const winner = compareEntries(a, b) >= 0 ? a : b;
  if (a.incarnation !== b.incarnation) return winner;
  const configurationRevision = Math.max(a.configurationRevision, b.configurationRevision);
  return winner.configurationRevision === configurationRevision
    ? winner
    : { ...winner, configurationRevision };
}

/** Orders entries by incarnation and revision, and those of equal versions by their content. */
export function compareEntries(a: HostEntry, b: HostEntry): number {
  return (
    a.incarnation - b.incarnation ||
    a.revision - b.revision ||
    STATE_ORDER[a.state] - STATE_ORDER[b.state] ||
    compareText(getContent(a), getContent(b))
  );
}

function getContent({ host, zone, region, address, protocol }: HostEntry): string {
  return JSON.stringify([host, zone, region, address, protocol]);
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
