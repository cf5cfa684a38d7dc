import { z } from 'zod';
import type { TokenBucket } from '../base/tokenBucket.ts';
import type { HeaderContent } from '../notices/types.ts';
import type { ReservationRequest } from '../residency/types.ts';

/** The requests per second that an endpoint says it takes from all hosts together. */
export type NamedLimit = HeaderContent<{ type: 'rate'; perS: number }>;

/** The limit of an endpoint as this host knows it. */
export interface EndpointLimit {
  /** Requests per second from all hosts together; undefined once the endpoint names none any more. */
  perS: number | undefined;
  /** The limit before the last change. */
  formerPerS: number | undefined;
  /** Grows with each change that a host learns from an answer; hosts adopt the highest. */
  revision: number;
  /** Monotonic ms at which this host learned of `perS`. */
  adoptedAt: number;
  /** Monotonic ms before which the endpoint is known to have no permit for this host. */
  nextPermitAt: number;
}

export const AnnouncedLimit = z.object({
  endpoint: z.string().min(1).max(200),
  /** Unix ms of the start of the endpoint that named the limit. */
  startedAt: z.number(),
  /** Absent once the endpoint names none any more. */
  perS: z.number().min(0).optional(),
  revision: z.int().min(1),
});
export type AnnouncedLimit = z.infer<typeof AnnouncedLimit>;

/**
 * `owner`: the host hands out the permits of all hosts with a link to it; `share`: it has no link to the
 * owner of the endpoint and uses its own part.
 */
export type PermitRole = 'owner' | 'share';

/** A request that waits at the owner of a limited endpoint. */
export interface QueuedPermit extends ReservationRequest {
  from: string;
  arrivedAt: number;
  isAcknowledged: boolean;
}

/** The permits of one limited endpoint that this host hands out. */
export interface EndpointPermits {
  role: PermitRole;
  /** Unix ms of the start of the endpoint. */
  startedAt: number;
  bucket: TokenBucket;
  /** Requests to endpoints of plain services; those to engines wait in the engine's queue. */
  queue: QueuedPermit[];
  /** Monotonic ms of the deadline of each request under way to a brittle endpoint. */
  inFlight: Map<string, number>;
  /** Monotonic ms of the next timer that serves the queue; -Infinity before the first one. */
  nextServeAt: number;
  /** Monotonic ms up to which returns of refused callers are spread. */
  returnsUntil: number;
  /** Permits and refusals since the last report. */
  granted: number;
  refused: number;
}

/** Limits that endpoints named, and the permits that follow from them. */
export class Limits {
  isReportScheduled = false;
  /** Permits by endpoint. */
  readonly permits = new Map<string, EndpointPermits>();

  private constructor() {}

  static create(): Limits {
    return new Limits();
  }
}

export type LimitTimer =
  | { type: 'reportLimitUse' }
  /** Serves the requests that wait for permits of an endpoint of a plain service. */
  | { type: 'servePermits'; endpoint: string };
