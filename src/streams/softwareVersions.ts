import type { State } from '../core/state.ts';
import { getPresentEndpoints } from '../fleet/endpointChoice.ts';
import type { Endpoint } from '../fleet/types.ts';
import { MAX_FORMER_VERSIONS } from './constants.ts';

/**
 * Remembers that an endpoint had its software version until now. Keeps the last versions of a service
 * only: with as many in a short time, it had more than one in any case.
 */
export function recordFormerVersion(
  { streams }: State,
  { service, softwareVersion }: Endpoint,
  now: number,
): void {
  const versions = streams.formerVersions.get(service) ?? new Map<string | undefined, number>();
  versions.delete(softwareVersion);
  versions.set(softwareVersion, now);
  const [oldest] = versions.keys();
  if (versions.size > MAX_FORMER_VERSIONS) versions.delete(oldest);
  streams.formerVersions.set(service, versions);
}

/** Returns the software versions of the endpoints that a service has, leaving ones too. */
export function getPresentVersions({ fleet }: State, service: string): (string | undefined)[] {
  return getPresentEndpoints(fleet, service).map(({ endpoint }) => endpoint.softwareVersion);
}

/**
 * Returns the software version of all endpoints that a service had in the last `windowMs`; undefined if
 * there was more than one, or if this host can't know because it started within this time or the
 * directory was not available all the while.
 */
export function getOnlySoftwareVersion(
  state: State,
  service: string,
  windowMs: number,
  now: number,
): string | undefined {
  const { streams, directory } = state;
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  const knownSince = Math.max(streams.startedAt, recoveredAt);
  if (unavailableSince !== undefined || knownSince + windowMs > now) return undefined;
  const current = getPresentVersions(state, service);
  const former = [...(streams.formerVersions.get(service) ?? [])]
    .filter(([, lastSeenAt]) => lastSeenAt + windowMs > now)
    .map(([version]) => version);
  return getOnly([...current, ...former]);
}

/** Returns the element that all of `versions` are; undefined if they differ or if there is none. */
export function getOnly(versions: readonly (string | undefined)[]): string | undefined {
  const [first, ...others] = new Set(versions);
  return others.length === 0 ? first : undefined;
}
