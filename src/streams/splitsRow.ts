import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import { schedule } from '../core/timers.ts';
import { getLatestDirectoryClock } from '../directory/clock.ts';
import type { DirectoryWriteAnswer } from '../directory/types.ts';
import { getRoutableEndpoints } from '../fleet/endpointChoice.ts';
import type { RoutingTable } from '../routes/types.ts';
import {
  MAX_SPLIT_DELAY_MS,
  MAX_SPLITS,
  MIN_SHARE_CHANGE,
  MIN_SPLIT_DELAY_MS,
  SPLIT_AGE_MS,
} from './constants.ts';
import { getPresentVersions } from './softwareVersions.ts';
import type { ServiceSplits, VersionShare, VersionSplitsRow } from './types.ts';
import { getSplits } from './versionSplits.ts';

/** Schedules the check of the splits after endpoints or routes changed. Delays differ, so that one host writes. */
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
  const { version, unavailableSince } = directory.topics.members;
  if (version === undefined || unavailableSince !== undefined) {
    scheduleSplitUpdate(state, now);
    return [];
  }
  // A split that seemed to begin too early would be taken for the only one that a stream can have begun by.
  const clock = getLatestDirectoryClock(state, now);
  if (clock === undefined && directory.clock !== undefined) scheduleSplitUpdate(state, now);
  const { current: routeIndex } = state.routeIndex;
  if (streams.isWritingSplits || clock === undefined || routeIndex === undefined) return [];
  const services = getResumableServices(routeIndex.table).map((service) =>
    updateServiceSplits(state, service, clock),
  );
  const row: VersionSplitsRow = { services: services.filter(({ splits }) => splits.length > 0) };
  const isInDirectory = streams.splitsVersion > 0 || row.services.length === 0;
  if (isInDirectory && isSameRow(row, streams.splitsRow)) return [];
  streams.isWritingSplits = true;
  return [
    { type: 'writeRow', content: { type: 'versionSplits', row }, version: streams.splitsVersion },
  ];
}

/** Adopts the row of splits; `version` is 0 while the directory has none. */
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
    const current = content?.type === 'versionSplits' ? content.row : state.streams.splitsRow;
    return applyVersionSplits(state, current, answer.current?.version ?? 0, now);
  }
  scheduleSplitUpdate(state, now);
  return [newLog('warn', 'write of the version splits failed', { reason: answer.reason })];
}

function updateServiceSplits(state: State, service: string, clock: number): ServiceSplits {
  const shares = getShares(state, service);
  const known = getSplits(state.streams.splitsRow, service);
  const last = known.at(-1);
  const isUnchanged = last !== undefined && isSimilar(last.shares, shares);
  if (shares.length === 0 || isUnchanged) return { service, splits: known };
  // A service that has one version when hosts first look began all its streams there.
  const hadOneVersion = new Set(getPresentVersions(state, service)).size === 1;
  const since = last === undefined && hadOneVersion ? 0 : clock;
  const recent = known.filter((_, index) => {
    const replacedAt = known[index + 1]?.since ?? clock;
    return replacedAt + SPLIT_AGE_MS > clock;
  });
  return { service, splits: [...recent, { since, shares }].slice(-MAX_SPLITS) };
}

/** Returns the share of each software version among the routable endpoints of a service. */
function getShares({ fleet }: State, service: string): VersionShare[] {
  const views = getRoutableEndpoints(fleet, service);
  const counts = new Map<string | undefined, number>();
  for (const { endpoint } of views) {
    const { softwareVersion: version } = endpoint;
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return [...counts]
    .sort(([a = ''], [b = '']) => (a < b ? -1 : 1))
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
function getResumableServices({ routes }: RoutingTable): string[] {
  const services = routes
    .filter(({ kind, isResumable }) => kind === 'stream' && isResumable)
    .flatMap(({ targets }) => targets.map(({ service }) => service));
  return [...new Set(services)].sort();
}
