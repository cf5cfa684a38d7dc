import { z } from 'zod';
import { Endpoint } from '../fleet/types.ts';
import { Member, MembersRow } from '../owners/types.ts';
import { CallerLimits, Route, RoutingTable, Service, Tenant } from '../routes/types.ts';
import { VersionSplitsRow } from '../streams/types.ts';
import { SuspectsRow } from '../suspects/types.ts';

/**
 * A topic of the directory, in which operators, endpoints and hosts publish what all hosts must
 * know. Each topic is a set of keys whose values have increasing versions.
 */
export const Topic = z.enum(['operator', 'endpoints', 'members']);
export type Topic = z.infer<typeof Topic>;

/** A row that hosts write under a condition, for all hosts; in the topic `members`. */
export const HostRow = z.discriminatedUnion('type', [
  z.object({ type: z.literal('members'), row: MembersRow }),
  z.object({ type: z.literal('suspects'), row: SuspectsRow }),
  z.object({ type: z.literal('versionSplits'), row: VersionSplitsRow }),
]);
export type HostRow = z.infer<typeof HostRow>;

export const DirectoryContent = z.discriminatedUnion('type', [
  z.object({ type: z.literal('routing'), table: RoutingTable }),
  z.object({
    type: z.literal('adapterVersion'),
    /** `model/adapter` */
    adapter: z.string(),
    version: z.int().min(0),
  }),
  z.object({ type: z.literal('endpoint'), endpoint: Endpoint }),
  ...HostRow.options,
  z.object({ type: z.literal('removed') }),
  /** The entry cannot be parsed and is ignored. */
  z.object({ type: z.literal('malformed'), reason: z.string() }),
]);
export type DirectoryContent = z.infer<typeof DirectoryContent>;

/** A key of a topic at one version. */
export const DirectoryChange = z.object({
  key: z.string(),
  version: z.int().min(0),
  content: DirectoryContent,
});
export type DirectoryChange = z.infer<typeof DirectoryChange>;

/** The answer to a read or a watch of a topic. */
export type DirectoryAnswer =
  /**
   * `version` is that of the directory; the next watch continues from it. `clockMs` is the time of its
   * steady clock, if it tells it, and `asOfMs` the time by which it had made all changes that are missing.
   */
  | {
      type: 'changes';
      changes: DirectoryChange[];
      version: number;
      clockMs?: number;
      asOfMs?: number;
    }
  /**
   * The directory no longer keeps the changes since the requested version; `isRestored` if it came back
   * from an older copy.
   */
  | { type: 'historyLost'; isRestored: boolean }
  | { type: 'unavailable'; reason: string };

/** How a change of the directory arrived: by a call of this host, or from another host. */
export type ChangeSource = { source: 'read' | 'watch' } | { source: 'host'; from: string };

/** The answer to a conditional write of a row. */
export type DirectoryWriteAnswer =
  | { type: 'written'; version: number }
  /** Another write came first; `current` is the row as it is now, undefined when it is absent. */
  | { type: 'conflict'; current: DirectoryChange | undefined }
  /** Nothing was written. */
  | { type: 'unavailable'; reason: string }
  /** The answer was lost; the write may have taken effect or may do so later. */
  | { type: 'unknown'; reason: string };

/** Known entries of one topic and the state of its calls. */
export interface TopicState {
  /** Last known change by key, removals included. */
  entries: Map<string, DirectoryChange>;
  /** Version from which the next watch continues; undefined before the first read. */
  version: number | undefined;
  /** Highest version of the entries. */
  newestVersion: number;
  /** Host that last told this one changes, and the version up to which both have the same rows. */
  synced: { host: string; version: number } | undefined;
  /** Host that was last asked for changes, and the version after which it was asked for them. */
  requested: { host: string; after: number } | undefined;
  /** Version of the last read; this host may not know of removals before it. */
  readVersion: number;
  /**
   * Version of the last announcement, or answer of a host, that left out rows which changed and changed back; this host
   * may have older versions of them. 0 after a read.
   */
  omittedUpTo: number;
  /** Number of the last call; answers to older calls are ignored. */
  call: number;
  isCallInFlight: boolean;
  /** Monotonic ms by which the watch in flight is due to be answered. */
  answerDueAt: number;
  /**
   * Version up to which this host announced changes, or received them by an announcement or from its
   * own calls; a new reader continues announcing from there.
   */
  announcedVersion: number;
  /** Consecutive watches that returned changes, and the monotonic ms of the last one. */
  watchesWithChanges: number;
  changedAt: number;
  /** Monotonic ms at which the next call is due, if one is scheduled; in the past otherwise. */
  nextCallAt: number;
  /** Consecutive failed calls. */
  failures: number;
  /** Monotonic ms of the first of these failures; undefined while calls succeed. */
  unavailableSince: number | undefined;
  /** Monotonic ms at which calls succeeded again after failures. */
  recoveredAt: number;
  /** Monotonic ms at which the directory, or a reader, last confirmed that this host knows the newest version. */
  confirmedAt: number;
  /** Monotonic ms at which the directory last answered a call of this host. */
  answeredAt: number;
  /** Monotonic ms at which the last call started. */
  callStartedAt: number;
  /** Monotonic ms at which another host was last asked for changes however large they are. */
  wholeRequestedAt: number;
  /** Newest time of the directory's clock, in ms, as of which this host is known to have every change. */
  provenAtMs: number | undefined;
}

/** What this host knows of the directory. */
export class Directory {
  readonly topics: Record<Topic, TopicState> = {
    operator: newTopicState(),
    endpoints: newTopicState(),
    members: newTopicState(),
  };
  /**
   * Monotonic ms of the last reader heartbeat; -Infinity before the first one, and once this host
   * watches the directory itself because the heartbeats stopped.
   */
  lastHeartbeatAt = -Infinity;
  /** Host that sent the last reader heartbeat, for logs. */
  heartbeatFrom: string | undefined;
  /** Host that is to be the reader, and monotonic ms since which this host expects its heartbeats. */
  expectedReader: { host: string; since: number } | undefined;
  /** Monotonic ms until which hosts that sent no heartbeats are passed over as readers. */
  readonly avoidedReaders = new Map<string, number>();
  /** Whether the reader announces all topics; one of an earlier version announces some. */
  isReaderProving = false;
  /** Time of the directory's steady clock, and monotonic ms at which an answer told it. */
  clock: { ms: number; readAt: number } | undefined;
  /**
   * Lower bound of the difference between this host's monotonic clock and the directory's, in ms, at a monotonic
   * ms: an answer is given after its call started. Undefined until an answer tells the clock.
   */
  clockOffset: { ms: number; at: number } | undefined;
  /**
   * Deferred removals by endpoint: the entry of a live endpoint may have expired in an outage.
   */
  readonly deferredRemovals = new Map<string, { change: DirectoryChange; until: number }>();

  /** How the routing table that applies arrived, and at which monotonic ms. */
  routingSource: (ChangeSource & { at: number }) | undefined;

  private constructor() {}

  static create(): Directory {
    return new Directory();
  }
}

function newTopicState(): TopicState {
  return {
    entries: new Map(),
    version: undefined,
    newestVersion: 0,
    synced: undefined,
    requested: undefined,
    readVersion: 0,
    omittedUpTo: 0,
    call: 0,
    isCallInFlight: false,
    answerDueAt: 0,
    announcedVersion: 0,
    watchesWithChanges: 0,
    changedAt: -Infinity,
    nextCallAt: -Infinity,
    failures: 0,
    unavailableSince: undefined,
    recoveredAt: -Infinity,
    confirmedAt: -Infinity,
    answeredAt: -Infinity,
    callStartedAt: -Infinity,
    wholeRequestedAt: -Infinity,
    provenAtMs: undefined,
  };
}

/**
 * Requests the changes of a topic after a version from another host, while the directory is
 * unavailable or when announced changes did not arrive.
 */
export const TopicChangesRequest = z.object({
  type: z.literal('topicAsked'),
  topic: Topic,
  after: z.int().min(0),
  /**
   * Whether the changes are wanted however large they are, as the sender can't read them from the directory.
   * Hosts of earlier versions omit it and want them.
   */
  isWhole: z.boolean().optional(),
});
export type TopicChangesRequest = z.infer<typeof TopicChangesRequest>;

/** All changes of a topic after one version up to another that the receiving host needs. */
export const TopicChanges = z.object({
  type: z.literal('topicTold'),
  topic: Topic,
  after: z.int().min(0),
  upTo: z.int().min(0),
  changes: z.array(DirectoryChange),
  /**
   * Keys of all rows, if the sender may not know of every change after the first version: rows of other keys were
   * removed, and the changes are what the rows are up to the second version, whatever came between. Hosts of earlier
   * versions omit and ignore it.
   */
  keys: z.array(z.string()).optional(),
});
export type TopicChanges = z.infer<typeof TopicChanges>;

/** Tells that a topic has changes that are too large for the links between hosts; they are read from the directory. */
export const TopicAdvance = z.object({
  type: z.literal('topicAdvanced'),
  topic: Topic,
  upTo: z.int().min(0),
});
export type TopicAdvance = z.infer<typeof TopicAdvance>;

/** Returns the schema of what changed of a list whose entries have names. */
function newDifferenceSchema<T extends z.ZodType>(entry: T) {
  return z.object({ changed: z.array(entry), removed: z.array(z.string()) });
}

/** What a change of the routing table changed; the whole table can be large. */
export const RoutingChange = z.object({
  type: z.literal('routingChanged'),
  key: z.string(),
  /** Versions of the topic before and after the change. */
  after: z.int().min(0),
  upTo: z.int().min(0),
  /** Versions of the row after and before the change, and of the table in it. */
  version: z.int().min(0),
  fromVersion: z.int().min(0),
  tableVersion: z.int().min(0),
  /** Routes and tenants that are new or have changed, and the names of those that are gone. */
  routes: newDifferenceSchema(Route),
  tenants: newDifferenceSchema(Tenant),
  /** Whether requests need keys of tenants. */
  hasTenants: z.boolean(),
  services: z.array(Service),
  limits: CallerLimits,
  /** Other changes of the topic up to the same version. */
  others: z.array(DirectoryChange),
});
export type RoutingChange = z.infer<typeof RoutingChange>;

/** What a change of the members row changed; the whole row is large. */
export const MembersChange = z.object({
  type: z.literal('membersChanged'),
  /** Versions of the topic before and after the change. */
  after: z.int().min(0),
  upTo: z.int().min(0),
  /** Version of the row, and its epochs before and after. */
  version: z.int().min(0),
  fromEpoch: z.int().min(1),
  epoch: z.int().min(1),
  /** Members that are new or have changed, and hosts that are no members any more. */
  changed: z.array(Member),
  removed: z.array(z.string()),
});
export type MembersChange = z.infer<typeof MembersChange>;

/** Heartbeat of a reader whose directory calls succeed. */
export const ReaderHeartbeat = z.object({
  type: z.literal('directoryFed'),
  /** Version of each topic up to which the reader announced changes, in the order of `Topic`. */
  told: z.array(z.int().min(0)).length(Topic.options.length),
  /** Time since the reader's calls succeeded again after failures, in ms. */
  regainedMs: z.number(),
  /**
   * Time of the directory's clock as of which each topic is proven, in ms and in the order of `Topic`; null if
   * it is unknown. Hosts of earlier versions omit it, and prove nothing.
   */
  provenMs: z.array(z.number().nullable()).length(Topic.options.length).optional(),
});
export type ReaderHeartbeat = z.infer<typeof ReaderHeartbeat>;

export type DirectoryEvent =
  | {
      type: 'directoryAnswered';
      topic: Topic;
      call: number;
      /** Whether this answers a read; otherwise it answers a watch. */
      isRead: boolean;
      answer: DirectoryAnswer;
    }
  | { type: 'rowWriteAnswered'; content: HostRow; answer: DirectoryWriteAnswer }
  /** The clocks of this host moved against each other. */
  | { type: 'clockJumped' };

export type DirectoryEffect =
  | { type: 'readTopic'; topic: Topic; call: number }
  | { type: 'watchTopic'; topic: Topic; call: number; after: number; waitMs: number }
  /** Writes the row if it still has `version`; 0 when it must be absent. */
  | { type: 'writeRow'; content: HostRow; version: number };

export type DirectoryTimer =
  | { type: 'startTopicCall'; topic: Topic }
  | { type: 'pollPeer'; topic: Topic }
  | { type: 'readerHeartbeatRound' }
  | { type: 'applyDeferredRemovals' };
