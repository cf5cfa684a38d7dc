import { hash32 } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { getDirectoryClock } from '../directory/clock.ts';
import type { EndpointView } from '../fleet/types.ts';
import { SPLIT_LAG_MS } from './constants.ts';
import { getOnly, getPresentVersions } from './softwareVersions.ts';
import type { VersionSplit, VersionSplitsRow } from './types.ts';

const HASH_VALUES = 2 ** 32;

/**
 * Returns those of `views` at which the stream of an attempt may begin. All hosts choose its software version
 * by the split in force, so that the version is known even if every host that served the stream is gone.
 */
export function filterByVersionSplit(
  state: State,
  service: string,
  attempt: string,
  views: EndpointView[],
  now: number,
): EndpointView[] {
  const split = getSplits(state.streams.splitsRow, service).at(-1);
  if (split !== undefined) {
    const version = chooseVersion(split, attempt);
    return views.filter(({ endpoint }) => endpoint.softwareVersion === version);
  }
  // Until this host has read the row, streams could begin on other versions than it says.
  if (!hasReadMembers(state)) return [];
  // Without the directory's clock, hosts write no splits.
  if (getDirectoryClock(state, now) === undefined) return views;
  const versions = new Set(views.map(({ endpoint }) => endpoint.softwareVersion));
  return versions.size <= 1 ? views : [];
}

/**
 * Returns the software version that began the stream of an attempt in the last `windowMs`, if all splits
 * that were in force since then agree; undefined otherwise.
 */
export function deriveStreamVersion(
  state: State,
  service: string,
  attempt: string,
  windowMs: number,
  now: number,
): string | undefined {
  const clock = getDirectoryClock(state, now);
  const splits = getSplits(state.streams.splitsRow, service);
  const [first] = splits;
  if (clock === undefined || first === undefined) return undefined;
  // The row is older than the endpoints that this host knows.
  const named = new Set(splits.flatMap(({ shares }) => shares.map(({ version }) => version)));
  if (!getPresentVersions(state, service).every((version) => named.has(version))) return undefined;
  const from = clock - windowMs;
  // Streams began on any version before hosts learned of the first split.
  if (first.since > 0 && first.since + SPLIT_LAG_MS > from) return undefined;
  const inForce = splits.filter((_, index) => {
    const replacedAt = splits[index + 1]?.since ?? Infinity;
    return replacedAt + SPLIT_LAG_MS > from;
  });
  return getOnly(inForce.map((split) => chooseVersion(split, attempt)));
}

/** Whether this host has read the topic of the rows that hosts write. */
function hasReadMembers({ directory }: State): boolean {
  return directory.topics.members.version !== undefined;
}

/** Chooses a version by weighted rendezvous hashing: a change of shares moves as few streams as possible. */
function chooseVersion({ shares }: VersionSplit, attempt: string): string | undefined {
  let best: string | undefined;
  let highest = 0;
  for (const { version, share } of shares) {
    const fraction = (hash32(`${attempt} ${version ?? ''}`) + 0.5) / HASH_VALUES;
    const score = share / -Math.log(fraction);
    if (score <= highest) continue;
    best = version;
    highest = score;
  }
  return best;
}

/** Returns the splits of a service in their order; none before the first write of the row. */
export function getSplits(row: VersionSplitsRow, service: string): VersionSplit[] {
  return row.services.find((each) => each.service === service)?.splits ?? [];
}
