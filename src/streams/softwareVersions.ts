import type { State } from '../core/state.ts';
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
  const { streams, fleet, directory } = state;
  const { unavailableSince, recoveredAt } = directory.topics.endpoints;
  const knownSince = Math.max(streams.startedAt, recoveredAt);
  if (unavailableSince !== undefined || knownSince + windowMs > now) return undefined;
  const current = [...fleet.views.values()]
    .filter(({ endpoint, isRemoved }) => !isRemoved && endpoint.service === service)
    .map(({ endpoint }) => endpoint.softwareVersion);
  const former = [...(streams.formerVersions.get(service) ?? [])]
    .filter(([, lastSeenAt]) => lastSeenAt + windowMs > now)
    .map(([version]) => version);
  const versions = new Set([...current, ...former]);
  return versions.size === 1 ? [...versions][0] : undefined;
}
