import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { getDirectoryClock } from '../directory/clock.ts';
import type { DirectoryWriteAnswer } from '../directory/types.ts';
import { getRoutableEndpoints } from '../fleet/endpointChoice.ts';
import {
  MAX_SPLIT_DELAY_MS,
  MAX_SPLITS,
  MIN_SHARE_CHANGE,
  MIN_SPLIT_DELAY_MS,
  SPLIT_AGE_MS,
} from './constants.ts';
import type { ServiceSplits, VersionShare, VersionSplitsRow } from './types.ts';
import { getSplits } from './versionSplits.ts';

/** Schedules the check of the splits after endpoints changed. Delays differ, so that one host writes. */
export function scheduleSplitUpdate(state: State, now: number): void {
  const { streams, random } = state;
  if (streams.isSplitUpdateScheduled) return;
  streams.isSplitUpdateScheduled = true;
  const spreadMs = MAX_SPLIT_DELAY_MS - MIN_SPLIT_DELAY_MS;
  const at = now + MIN_SPLIT_DELAY_MS + spreadMs * random.getFraction();
  schedule(state, at, { type: 'updateVersionSplits' });
}

/** Writes the row of splits if the endpoints have software versions in other shares than it says. */
export function updateVersionSplits(state: State, now: number): Effect[] {
  const { streams, directory } = state;
  streams.isSplitUpdateScheduled = false;
  const clock = getDirectoryClock(state, now);
  if (streams.isWritingSplits || clock === undefined) return [];
  const { version, unavailableSince } = directory.topics.members;
  if (version === undefined) return [];
  if (unavailableSince !== undefined) {
    scheduleSplitUpdate(state, now);
    return [];
  }
  const services = getResumableServices(state).map((service) =>
    updateServiceSplits(state, service, clock),
  );
  const row: VersionSplitsRow = { services: services.filter(({ splits }) => splits.length > 0) };
  if (isSameRow(row, streams.splitsRow)) return [];
  streams.isWritingSplits = true;
  return [
    { type: 'writeRow', content: { type: 'versionSplits', row }, version: streams.splitsVersion },
  ];
}

/** Adopts the row of splits; its absence is an empty row of version 0. */
export function applyVersionSplits(
  state: State,
  row: VersionSplitsRow,
  version: number,
  now: number,
): Effect[] {
  state.streams.splitsRow = row;
  state.streams.splitsVersion = version;
  scheduleSplitUpdate(state, now);
  const services = row.services.map(({ service, splits }) => ({
    service,
    shares: splits.at(-1)?.shares,
  }));
  return [newLog('info', 'shares of software versions changed', { version, services })];
}

/** Adopts the written or the conflicting row; after a failed write, the splits are checked again. */
export function handleSplitsWriteAnswer(
  state: State,
  row: VersionSplitsRow,
  answer: DirectoryWriteAnswer,
  now: number,
): Effect[] {
  state.streams.isWritingSplits = false;
  if (answer.type === 'written') return applyVersionSplits(state, row, answer.version, now);
  if (answer.type === 'conflict') {
    const content = answer.current?.content;
    // A row that is absent or malformed is replaced.
    const current = content?.type === 'versionSplits' ? content.row : { services: [] };
    return applyVersionSplits(state, current, answer.current?.version ?? 0, now);
  }
  scheduleSplitUpdate(state, now);
  return [newLog('warn', 'write of the version splits failed', { reason: answer.reason })];
}

function updateServiceSplits(state: State, service: string, clock: number): ServiceSplits {
  const { streams } = state;
  const shares = getShares(state, service);
  const known = getSplits(streams.splitsRow, service);
  const former = streams.lastShares.get(service);
  if (shares.length > 0) streams.lastShares.set(service, shares);
  const last = known.at(-1);
  if (last === undefined) {
    const isReplaced = former !== undefined && !isSimilar(former, shares);
    if (shares.length === 0 || (shares.length === 1 && !isReplaced)) return { service, splits: [] };
    // A service that had one version until now began all its streams there.
    const before = former?.length === 1 ? [{ since: 0, shares: former }] : [];
    return { service, splits: [...before, { since: clock, shares }] };
  }
  if (shares.length === 0 || isSimilar(last.shares, shares)) return { service, splits: known };
  const recent = known.filter((_, index) => {
    const replacedAt = known[index + 1]?.since ?? clock;
    return replacedAt + SPLIT_AGE_MS > clock;
  });
  return { service, splits: [...recent, { since: clock, shares }].slice(-MAX_SPLITS) };
}

/** Returns the share of each software version among the routable endpoints of a service. */
function getShares({ fleet }: State, service: string): VersionShare[] {
  const views = getRoutableEndpoints(fleet, service);
  const counts = new Map<string, number>();
  for (const { endpoint } of views) {
    const { softwareVersion: version } = endpoint;
    if (version === undefined) return [];
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return [...counts]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([version, count]) => ({ version, share: count / views.length }));
}

/** Whether shares differ so little that another split is not worth its ambiguous streams. */
function isSimilar(known: readonly VersionShare[], shares: readonly VersionShare[]): boolean {
  if (known.length !== shares.length) return false;
  return shares.every(({ version, share }) => {
    const before = known.find((each) => each.version === version);
    return before !== undefined && Math.abs(before.share - share) < MIN_SHARE_CHANGE;
  });
}

function isSameRow(a: VersionSplitsRow, b: VersionSplitsRow): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Returns the services to which routes of resumable streams lead. */
function getResumableServices({ routeIndex }: State): string[] {
  const routes = routeIndex.current?.table.routes ?? [];
  const services = routes
    .filter(({ kind, isResumable }) => kind === 'stream' && isResumable)
    .flatMap(({ targets }) => targets.map(({ service }) => service));
  return [...new Set(services)].sort();
}
