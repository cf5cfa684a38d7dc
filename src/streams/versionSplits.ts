import { hash32 } from '../base/hash.ts';
import type { State } from '../core/state.ts';
import { getDirectoryClock } from '../directory/clock.ts';
import { SPLIT_LAG_MS } from './constants.ts';
import { getOnly, getPresentVersions } from './softwareVersions.ts';
import type { VersionSplit, VersionSplitsRow } from './types.ts';

const HASH_VALUES = 2 ** 32;

/**
 * Returns the software version on which the stream of an attempt begins, by the split in force; undefined
 * if the service has none. All hosts return the same, so that the version of a stream is known even if
 * every host that served it is gone.
 */
export function getSplitVersion(
  { streams }: State,
  service: string,
  attempt: string,
): string | undefined {
  const split = getSplits(streams.splitsRow, service).at(-1);
  return split === undefined ? undefined : chooseVersion(split, attempt);
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
  if (clock === undefined || state.directory.topics.members.version === undefined) return undefined;
  // Without splits, the service never had another version than the one that it has now.
  if (first === undefined) return getOnly(getPresentVersions(state, service));
  const from = clock - windowMs;
  // Streams began on any version before the first split.
  if (first.since > from) return undefined;
  const inForce = splits.filter((_, index) => {
    const replacedAt = splits[index + 1]?.since ?? Infinity;
    return replacedAt + SPLIT_LAG_MS > from;
  });
  return getOnly(inForce.map((split) => chooseVersion(split, attempt)));
}

/** Chooses a version by weighted rendezvous hashing: a change of shares moves as few streams as possible. */
function chooseVersion({ shares }: VersionSplit, attempt: string): string | undefined {
  let best: string | undefined;
  let highest = 0;
  for (const { version, share } of shares) {
    const fraction = (hash32(`${attempt} ${version}`) + 0.5) / HASH_VALUES;
    const score = share / -Math.log(fraction);
    if (score <= highest) continue;
    best = version;
    highest = score;
  }
  return best;
}

/** Returns the splits of a service in their order; none if it never had several versions. */
export function getSplits(row: VersionSplitsRow, service: string): VersionSplit[] {
  return row.services.find((each) => each.service === service)?.splits ?? [];
}
