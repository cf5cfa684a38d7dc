import type { Change, Revision } from './types.ts';

/** Parts of a snapshot that one host has sent so far. */
export interface PartialSnapshot {
  revision: number;
  parts: Map<number, Change[]>;
}

/** State of the replication of the configuration to this host. */
export class ConfigurationSync {
  /** Highest revision known to be in the head row; undefined until one is known. */
  headRevision: number | undefined;
  /** Whether the last read of the head row failed. */
  isTableUnavailable = false;
  /** Whether the host has reached the newest known revision at least once; never reset. */
  hasCaughtUp = false;
  /** Monotonic ms at which the unanswered read of the head was sent; -Infinity if none. */
  headReadSentAt = -Infinity;
  /** As `headReadSentAt`, for the read of revisions or of a snapshot. */
  revisionReadSentAt = -Infinity;
  /** Monotonic ms of the last request for revisions to a peer. */
  peerRequestSentAt = -Infinity;
  /** Latest revisions, oldest first and without gaps, for peers that are behind. */
  recentRevisions: Revision[] = [];
  /** Highest revision that each peer is known to have. */
  readonly peerRevisions = new Map<string, number>();
  /** Incomplete snapshots by the host that sends them. */
  readonly partialSnapshots = new Map<string, PartialSnapshot>();

  private constructor() {}

  static create(): ConfigurationSync {
    return new ConfigurationSync();
  }
}
