import { z } from 'zod';
import { Name } from '../configuration/types.ts';

export const HostState = z.enum(['joining', 'live', 'leaving', 'gone']);
export type HostState = z.infer<typeof HostState>;

/**
 * What a host tells of itself. Only the host itself writes its entry, except that others of its
 * zone mark it as gone; a host that finds itself marked writes a higher revision.
 */
export const HostEntry = z.object({
  host: Name,
  zone: Name,
  region: Name,
  /** `host:port` of the peer listener. */
  address: z.string(),
  /** Grows with each start of the host. */
  incarnation: z.int().min(0),
  /** Grows with each change of the entry within one incarnation. */
  revision: z.int().min(0),
  state: HostState,
  protocol: z.int().min(1),
  configurationRevision: z.int().min(0),
});
export type HostEntry = z.infer<typeof HostEntry>;

/** Entries that changed. */
export const MembershipDelta = z.object({
  type: z.literal('membershipDelta'),
  entries: z.array(HostEntry),
});

/** Hash over the versions of all entries; equal hashes mean equal views. */
export const MembershipDigest = z.object({
  type: z.literal('membershipDigest'),
  hash: z.int().min(0),
});

const Version = z.tuple([Name, z.int().min(0), z.int().min(0)]);

/** Versions (host, incarnation, revision) of all entries; sent when digests differ. */
export const MembershipVersions = z.object({
  type: z.literal('membershipVersions'),
  versions: z.array(Version),
});
export type MembershipVersions = z.infer<typeof MembershipVersions>;

/** Asks for entries that the receiver has in a newer version. */
export const MembershipWanted = z.object({
  type: z.literal('membershipWanted'),
  hosts: z.array(Name),
});

/** Revision of the configuration that the sender has in force. */
export const HostRevision = z.object({
  type: z.literal('hostRevision'),
  incarnation: z.int().min(0),
  configurationRevision: z.int().min(0),
});

/** Endpoints that the host list newly names as leaving, or as live again. */
export const EndpointsLeaving = z.object({
  type: z.literal('endpointsLeaving'),
  leaving: z.array(z.string()),
  live: z.array(z.string()),
});

/** Load and residents of an engine. */
export const EngineUpdate = z.object({
  /** Engine. */
  e: Name,
  /** Ownership epoch of the engine's owner. */
  p: z.int().min(0),
  /** Sequence number within the epoch. */
  s: z.int().min(0),
  /** Sequence number that the change builds on; -1 when the residents are complete. */
  b: z.int().min(-1),
  state: z.enum(['unknown', 'live', 'leaving', 'unreachable']).optional(),
  /** Running and waiting requests. */
  l: z.tuple([z.int().min(0), z.int().min(0)]),
  /** Residents added; all residents when complete. */
  add: z.array(z.string()).optional(),
  /** Residents removed. */
  del: z.array(z.string()).optional(),
});
export type EngineUpdate = z.infer<typeof EngineUpdate>;

/** News of engines from their owner, or from a relay to other zones. Names are short: it is frequent. */
export const EngineDelta = z.object({
  type: z.literal('engineDelta'),
  /** Relay at the root of the tree that spreads the news in a zone; absent when from the owner. */
  root: Name.optional(),
  news: z.array(EngineUpdate),
});
export type EngineDelta = z.infer<typeof EngineDelta>;

/** Asks for complete news of engines after a gap. */
export const EngineWanted = z.object({ type: z.literal('engineWanted'), engines: z.array(Name) });

/** Address of a host that is known from elsewhere than its own entry. */
export interface AddressHint {
  zone: string;
  address: string;
}

/** One line of the platform's host list. */
export interface ListedHost {
  id: string;
  /** `entry` for hosts of this system; all others are endpoints. */
  kind: string;
  address: string;
  zone: string;
  state: 'live' | 'leaving';
}

/** What the owner of an engine told last. */
export interface SentEngineState {
  epoch: number;
  sequence: number;
  state: EngineUpdate['state'];
  running: number;
  waiting: number;
  residents: Set<string>;
  sentAt: number;
}

/** What was received of an engine last. */
export interface ReceivedVersion {
  epoch: number;
  sequence: number;
  from: string;
  /** Monotonic ms at which complete news was asked for last. */
  requestedAt: number;
}

/** What this host knows of the other hosts. */
export class Membership {
  /** Entries of all known hosts, this one included. */
  readonly hosts = new Map<string, HostEntry>();
  /** Hosts with an open, proven link. */
  readonly linkedHosts = new Set<string>();
  /** Monotonic ms since which a known host has had no link. */
  readonly unlinkedSince = new Map<string, number>();
  /** Hosts to which a link was ordered, with the address. */
  readonly requestedLinks = new Map<string, string>();
  /** Monotonic ms until which a link to a host outside the mesh is kept. */
  readonly onDemandUntil = new Map<string, number>();
  readonly addressHints = new Map<string, AddressHint>();
  /** Changed entries that were not passed on yet, with the host that told. */
  readonly changedEntries = new Map<string, string>();
  /** Monotonic ms at which an entry was first seen as gone. */
  readonly goneSince = new Map<string, number>();
  /** Endpoints that the host list names as leaving, with the monotonic ms of the last notice. */
  readonly leavingEndpoints = new Map<string, number>();
  /** Owned engines, as told to others. */
  readonly sentStates = new Map<string, SentEngineState>();
  /** Engines of this zone, as told to other zones by this relay. */
  readonly summarizedStates = new Map<string, SentEngineState>();
  readonly receivedVersions = new Map<string, ReceivedVersion>();
  /** Bytes of news that may be sent to each peer now, and monotonic ms of the last count. */
  creditBytes = 0;
  creditUpdatedAt = -Infinity;
  /** Monotonic ms at which old news was repeated last. */
  repeatedAt = -Infinity;
  listedHostCount = 0;

  private constructor() {}

  static create(): Membership {
    return new Membership();
  }
}

export type MembershipEvent =
  | { type: 'linkOpened'; host: string }
  | { type: 'linkClosed'; host: string; reason: string }
  /** Answer to `readHostList`. */
  | { type: 'hostListRead'; entries: ListedHost[] };

export type MembershipEffect =
  | { type: 'openLink'; host: string; address: string }
  | { type: 'closeLink'; host: string }
  /** Answered by `hostListRead`; nothing follows when the list cannot be read. */
  | { type: 'readHostList' };

/** Periodic rounds of the membership. */
export interface MembershipTimer {
  type: 'gossipRound' | 'digestRound' | 'summaryRound' | 'hostListRound';
}
