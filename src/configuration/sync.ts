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
  isTableSilent = false;
  /** Whether a first configuration is complete; stays true once set. */
  isCurrent = false;
  /** Monotonic ms at which the unanswered read of the head was sent. */
  headAskedAt = -Infinity;
  /** Monotonic ms at which the unanswered read of revisions or of a snapshot was sent. */
  loadingSince = -Infinity;
  /** Monotonic ms at which a peer was last asked for what this host lacks. */
  peerAskedAt = -Infinity;
  /** Last revisions, oldest first and without gaps, for peers that are behind. */
  recent: Revision[] = [];
  /** Highest revision that each peer is known to have. */
  readonly peerRevisions = new Map<string, number>();
  readonly partial = new Map<string, PartialSnapshot>();

  private constructor() {}

  static create(): ConfigurationSync {
    return new ConfigurationSync();
  }
}
