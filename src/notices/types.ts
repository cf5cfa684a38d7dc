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

/** What an answer of an endpoint says of the endpoint itself. */
export interface EndpointNotice {
  limit: NamedLimit;
  leaving: NamedLeaving;
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

/** Tells other hosts of what endpoints said of themselves to the sender, or that it was told of. */
export const EndpointNoticesAnnounced = z.object({
  type: z.literal('endpointLimitsAnnounced'),
  limits: z.array(AnnouncedLimit),
  /** Hosts of earlier versions omit it. */
  leaving: z.array(LeavingEndpoint).optional(),
});
export type EndpointNoticesAnnounced = z.infer<typeof EndpointNoticesAnnounced>;

/** An answer arrived that says something of its endpoint, or may end what the endpoint said before. */
export interface NoticeEvent {
  type: 'noticeRead';
  endpoint: string;
  /** Unix ms of the start of the endpoint, as it was known when the request was sent. */
  startedAt: number;
  /** Monotonic ms at which the request was sent. */
  sentAt: number;
  notice: EndpointNotice;
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
