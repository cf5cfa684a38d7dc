import { z } from 'zod';
import type { NamedLimit } from '../limits/types.ts';
import { AnnouncedLimit } from '../limits/types.ts';

/** What a header of an answer says. */
export type HeaderContent<T extends object> =
  | { type: 'none' }
  | T
  /** The value has another form, so it says nothing. */
  | { type: 'malformed'; value: string };

/** The time for which an endpoint that turned a request away wants nothing from this host. */
export type NamedPause = HeaderContent<{ type: 'pause'; ms: number }>;

/** Whether an endpoint says that it leaves. */
export type NamedLeaving = HeaderContent<{ type: 'leaving' }>;

/** How many requests an endpoint may turn away in a second before it stops. */
export type NamedBrittleness = HeaderContent<{ type: 'brittle'; maxRefusalsPerS: number }>;

/** What an answer of an endpoint says of the endpoint itself. */
export interface EndpointNotice {
  limit: NamedLimit;
  leaving: NamedLeaving;
  brittle: NamedBrittleness;
  pause: NamedPause;
}

/** The time for which an endpoint wants nothing from this host. Times are monotonic ms. */
export interface EndpointPause {
  learnedAt: number;
  /** Nothing is sent until then; one request may follow as a trial while `askedUntil` is later. */
  until: number;
  askedUntil: number;
}

const LeavingEndpoint = z.object({
  endpoint: z.string().min(1).max(200),
  /** Unix ms of the start of the endpoint that leaves. */
  startedAt: z.number(),
});
export type LeavingEndpoint = z.infer<typeof LeavingEndpoint>;

const BrittleEndpoint = z.object({
  endpoint: z.string().min(1).max(200),
  /** Unix ms of the start of the endpoint. */
  startedAt: z.number(),
});
export type BrittleEndpoint = z.infer<typeof BrittleEndpoint>;

/** Tells other hosts of what endpoints said of themselves to the sender, or that it was told of. */
export const EndpointNoticesAnnounced = z.object({
  type: z.literal('endpointLimitsAnnounced'),
  limits: z.array(AnnouncedLimit),
  /** Hosts of earlier versions omit these. */
  leaving: z.array(LeavingEndpoint).optional(),
  brittle: z.array(BrittleEndpoint).optional(),
});
export type EndpointNoticesAnnounced = z.infer<typeof EndpointNoticesAnnounced>;

/** Tells a host that an endpoint wants nothing for `ms` of the sender, which relays for that host or the reverse. */
export const EndpointPaused = z.object({
  type: z.literal('endpointPaused'),
  endpoint: z.string().min(1).max(200),
  /** Unix ms of the start of the endpoint. */
  startedAt: z.number(),
  ms: z.number().min(0),
});
export type EndpointPaused = z.infer<typeof EndpointPaused>;

/** An answer arrived that says something of its endpoint, or may end what the endpoint said before. */
export interface NoticeEvent {
  type: 'noticeRead';
  endpoint: string;
  /** Unix ms of the start of the endpoint, as it was known when the request was sent. */
  startedAt: number;
  /** Monotonic ms at which the request was sent. */
  sentAt: number;
  /** Host that relayed the answer; undefined for a direct connection. */
  relay?: string | undefined;
  notice: EndpointNotice;
}

export interface NoticeEffect {
  /** Sends a message to the hosts whose connections to its endpoint this host relays, but one. */
  type: 'tellRelayedHosts';
  message: EndpointPaused;
  except: string | undefined;
}

/** An endpoint that stops if it has to turn away many requests. Times are monotonic ms. */
export interface Brittleness {
  learnedAt: number;
  /** Most requests that may be under way to it, from all hosts together. */
  maxInFlight: number;
  /** Time of the last request that it turned away, or of the last change of `maxInFlight`. */
  changedAt: number;
  /** Time before which it is known to have no room for this host. */
  nextPermitAt: number;
}

/** What this host has to tell other hosts of endpoints. */
export class Notices {
  /** Endpoints of which answers to this host said something new since the last announcement. */
  readonly changed = new Set<string>();
  /** Monotonic ms of the last announcement. */
  announcedAt = -Infinity;
  isAnnouncementScheduled = false;

  private constructor() {}

  static create(): Notices {
    return new Notices();
  }
}

export interface NoticeTimer {
  type: 'announceNotices';
}
