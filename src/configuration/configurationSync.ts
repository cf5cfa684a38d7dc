import type { Change, Revision } from './types.ts';

/** Parts of a snapshot received so far from one host. */
export interface PartialSnapshot {
  revision: number;
  parts: Map<number, Change[]>;
}

/** How this host keeps its configuration up to date. */
export class ConfigurationSync {
  /** Highest revision read from the head row; undefined before the first answer. */
  headRevision: number | undefined;
  /** Whether the last read of the head got no answer. */
  isTableUnavailable = false;
  /** Whether a first configuration is complete; stays true once set. */
  hasCaughtUp = false;
  /** Monotonic ms at which the unanswered read of the head was sent. */
  headReadSentAt = -Infinity;
  /** Monotonic ms at which the unanswered read of revisions or of a snapshot was sent. */
  revisionReadSentAt = -Infinity;
  /** Monotonic ms at which a peer was last asked for what this host lacks. */
  peerRequestSentAt = -Infinity;
  /** Last revisions, oldest first and without gaps, for peers that are behind. */
  recentRevisions: Revision[] = [];
  /** Highest revision that each peer is known to have. */
  readonly peerRevisions = new Map<string, number>();
  readonly partialSnapshots = new Map<string, PartialSnapshot>();

  private constructor() {}

  static create(): ConfigurationSync {
    return new ConfigurationSync();
  }
}
