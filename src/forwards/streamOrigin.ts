import type { EndpointView } from '../fleet/types.ts';

/** Where a stream began: the software version of the endpoint that sent its first event. */
export interface StreamOrigin {
  /** Undefined if it is unknown; no endpoint can then resume the stream. */
  softwareVersion: string | undefined;
}

/**
 * Whether an endpoint can run a request that resumes the stream of `origin`. Events of different
 * software versions do not fit together. Every endpoint can run a request that resumes no stream.
 */
export function canResumeStream(
  origin: StreamOrigin | undefined,
  { endpoint }: EndpointView,
): boolean {
  if (origin === undefined) return true;
  const { softwareVersion } = origin;
  return softwareVersion !== undefined && endpoint.softwareVersion === softwareVersion;
}
