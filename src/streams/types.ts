import { z } from 'zod';

/**
 * Id of an attempt that a caller can name later: visible ASCII without commas, which separate the values
 * of a header that is sent twice.
 */
export const AttemptId = z.string().regex(/^[!-+\--~]{1,128}$/);

/** Record of the software version that began a stream, as hosts send it to each other. */
export const StreamRecord = z.object({
  /** Caller's attempt that brought the first event. */
  attempt: AttemptId,
  /** Fingerprint of the request; the caller's next attempt has the same. */
  fingerprint: z.string().max(128),
  service: z.string().max(200),
  /** Absent if it is unknown, so that no endpoint can resume the stream. */
  softwareVersion: z.string().max(200).optional(),
  /** Time until the record expires, in ms. */
  remainingMs: z.number(),
});
export type StreamRecord = z.infer<typeof StreamRecord>;

/** Record of a stream on this host. */
export interface KnownStream extends Omit<StreamRecord, 'remainingMs'> {
  /** Monotonic ms. */
  expiresAt: number;
}

/** Copies records to another host. */
export const StreamsRecorded = z.object({
  type: z.literal('streamsRecorded'),
  streams: z.array(StreamRecord),
});
export type StreamsRecorded = z.infer<typeof StreamsRecorded>;

const VersionShare = z.object({
  /** Software version; undefined for endpoints that tell none. */
  version: z.string().max(200).optional(),
  share: z.number().min(0).max(1),
});
export type VersionShare = z.infer<typeof VersionShare>;

/** Shares of the software versions of a service among its new resumable streams. */
const VersionSplit = z.object({
  /** Time of the directory's clock in ms from which it holds; 0 if it held from the beginning. */
  since: z.number(),
  shares: z.array(VersionShare),
});
export type VersionSplit = z.infer<typeof VersionSplit>;

const ServiceSplits = z.object({
  service: z.string().max(200),
  /** The last one is in force. */
  splits: z.array(VersionSplit),
});
export type ServiceSplits = z.infer<typeof ServiceSplits>;

/** Splits of the services with resumable streams. */
export const VersionSplitsRow = z.object({ services: z.array(ServiceSplits) });
export type VersionSplitsRow = z.infer<typeof VersionSplitsRow>;

const Request = z.string().min(1).max(200);

/** Asks another host for the record of a stream that `request` resumes. */
export const StreamLookup = z.object({
  type: z.literal('streamLookup'),
  request: Request,
  attempt: AttemptId,
  fingerprint: z.string().max(128),
});
export type StreamLookup = z.infer<typeof StreamLookup>;

/** Answers a lookup; without `stream` if the host has no record of it. */
export const StreamLookupAnswer = z.object({
  type: z.literal('streamLookupAnswer'),
  request: Request,
  stream: StreamRecord.optional(),
});
export type StreamLookupAnswer = z.infer<typeof StreamLookupAnswer>;

/** Software versions that began streams, and the requests that wait for such a record. */
export class Streams {
  /** Records by attempt and fingerprint, the least recently updated first. */
  readonly records = new Map<string, KnownStream>();
  /** Hosts that were asked and have not answered, by request. */
  readonly lookups = new Map<string, Set<string>>();
  /** Monotonic ms at which endpoints of each service last had each software version, by service. */
  readonly formerVersions = new Map<string, Map<string | undefined, number>>();
  /** Hashes of the ids of hosts. */
  readonly hostHashes = new Map<string, number>();
  /** Row of splits in the directory and its version; empty and 0 while it is absent. */
  splitsRow: VersionSplitsRow = { services: [] };
  splitsVersion = 0;
  isWritingSplits = false;
  isSplitUpdateScheduled = false;
  /** Monotonic ms at which this host started. */
  startedAt = Infinity;

  private constructor() {}

  static create(): Streams {
    return new Streams();
  }
}

export interface StreamLookupTimer {
  type: 'streamLookupTimeout';
  request: string;
}

/** Writes the row of splits if the endpoints have other shares than it says. */
export interface VersionSplitTimer {
  type: 'updateVersionSplits';
}
