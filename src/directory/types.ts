import { z } from 'zod';
import { Endpoint } from '../fleet/types.ts';
import { MembersRow } from '../owners/types.ts';
import { RoutingTable } from '../routes/types.ts';

/**
 * The directory is where operators, endpoints and hosts publish what all hosts must know. Each topic
 * is a set of keys whose values have growing versions.
 */
export const Topic = z.enum(['operator', 'endpoints', 'members']);
export type Topic = z.infer<typeof Topic>;

export const DirectoryContent = z.discriminatedUnion('type', [
  z.object({ type: z.literal('routing'), table: RoutingTable }),
  z.object({
    type: z.literal('adapterVersion'),
    /** `model/adapter` */
    adapter: z.string(),
    version: z.int().min(0),
  }),
  z.object({ type: z.literal('endpoint'), endpoint: Endpoint }),
  z.object({ type: z.literal('members'), row: MembersRow }),
  z.object({ type: z.literal('removed') }),
  /** The entry does not parse; it says nothing. */
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
  /** `version` is that of the directory, from which a watch continues. */
  | { type: 'changes'; changes: DirectoryChange[]; version: number }
  /** The changes since the version asked for are not kept any more. */
  | { type: 'historyLost' }
  | { type: 'unavailable'; reason: string };

/** The answer to a conditional write of the members row. */
export type MembersWriteAnswer =
  | { type: 'written'; version: number }
  /** Another write came first; `current` is what it wrote, undefined when the row is absent. */
  | { type: 'conflict'; current: DirectoryChange | undefined }
  /** Nothing was written. */
  | { type: 'unavailable'; reason: string }
  /** The answer was lost; the write may have taken effect or may do so later. */
  | { type: 'unknown'; reason: string };

/** What this host knows of one topic. */
export interface TopicState {
  /** Known contents by key, removed ones included. */
  entries: Map<string, DirectoryChange>;
  /** Version that the next watch continues from; undefined before the first read. */
  version: number | undefined;
  /** Number of the call under way; answers to older calls are ignored. */
  call: number;
  isCallInFlight: boolean;
  /** Monotonic ms by which the call under way is due. */
  answerDueAt: number;
  /** Version up to which this host told its group, or was told; as the reader it continues there. */
  announcedVersion: number;
  /** Watches in a row that brought changes, and the monotonic ms of the last one. */
  watchesWithChanges: number;
  changedAt: number;
  /** Failed calls in a row. */
  failures: number;
  /** Monotonic ms at which the first of them failed; undefined while calls succeed. */
  unavailableSince: number | undefined;
  /** Monotonic ms at which calls succeeded again after failures. */
  recoveredAt: number;
}

export class Directory {
  readonly topics: Record<Topic, TopicState> = {
    operator: newTopic(),
    endpoints: newTopic(),
    members: newTopic(),
  };
  /**
   * Monotonic ms at which a reader told last that it is in touch with the directory; -Infinity once
   * this host watches closely itself.
   */
  lastHeartbeatAt = -Infinity;
  /** Endpoints whose removal waits until the directory has been back for a while. */
  readonly deferredRemovals = new Map<string, { change: DirectoryChange; until: number }>();

  private constructor() {}

  static create(): Directory {
    return new Directory();
  }
}

function newTopic(): TopicState {
  return {
    entries: new Map(),
    version: undefined,
    call: 0,
    isCallInFlight: false,
    answerDueAt: 0,
    announcedVersion: 0,
    watchesWithChanges: 0,
    changedAt: -Infinity,
    failures: 0,
    unavailableSince: undefined,
    recoveredAt: -Infinity,
  };
}

/** Asks a host for the changes of a topic after a version; sent while the directory is away. */
export const TopicChangesRequest = z.object({
  type: z.literal('topicAsked'),
  topic: Topic,
  after: z.int().min(0),
});

/** Tells all changes of a topic after one version up to another, as far as other hosts need them. */
export const TopicChanges = z.object({
  type: z.literal('topicTold'),
  topic: Topic,
  after: z.int().min(0),
  upTo: z.int().min(0),
  changes: z.array(DirectoryChange),
});
export type TopicChanges = z.infer<typeof TopicChanges>;

/** Tells that a reader is in touch with the directory. */
export const ReaderHeartbeat = z.object({
  type: z.literal('directoryFed'),
  /** Version of each topic up to which the reader told, in the order of `Topic`. */
  told: z.array(z.int().min(0)).length(Topic.options.length),
  /** Time since the reader's calls succeeded again after failures, in ms. */
  regainedMs: z.number(),
});
export type ReaderHeartbeat = z.infer<typeof ReaderHeartbeat>;

export type DirectoryEvent =
  | {
      type: 'directoryAnswered';
      topic: Topic;
      call: number;
      isRead: boolean;
      answer: DirectoryAnswer;
    }
  | { type: 'membersWriteAnswered'; row: MembersRow; answer: MembersWriteAnswer };

export type DirectoryEffect =
  | { type: 'readTopic'; topic: Topic; call: number }
  | { type: 'watchTopic'; topic: Topic; call: number; after: number; waitMs: number }
  /** Writes the row if it still has `version`; 0 when it must be absent. */
  | { type: 'writeMembers'; row: MembersRow; version: number };

export type DirectoryTimer =
  | { type: 'startTopicCall'; topic: Topic }
  | { type: 'pollPeer'; topic: Topic }
  | { type: 'readerHeartbeatRound' }
  | { type: 'applyDeferredRemovals' };
