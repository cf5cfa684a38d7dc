import { z } from 'zod';
import { Name } from '../configuration/types.ts';

export const HostState = z.enum(['joining', 'live', 'leaving', 'gone']);
export type HostState = z.infer<typeof HostState>;

/**
 * What a host announces about itself. Only the host itself writes its entry, except that others of
 * its zone mark it as gone; a host that finds itself marked as gone writes a higher revision.
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

/** Host entries that changed. */
export const MembershipDelta = z.object({
  type: z.literal('membershipDelta'),
  entries: z.array(HostEntry),
});

/** Hash over the versions of all entries; equal hashes mean equal views. */
export const MembershipDigest = z.object({
  type: z.literal('membershipDigest'),
  hash: z.int().min(0),
});

const EntryVersion = z.tuple([Name, z.int().min(0), z.int().min(0)]);

/** Versions (host, incarnation, revision) of all entries; sent when digests differ. */
export const MembershipVersions = z.object({
  type: z.literal('membershipVersions'),
  versions: z.array(EntryVersion),
});
export type MembershipVersions = z.infer<typeof MembershipVersions>;

/** Requests entries that are newer on the receiver. */
export const MembershipWanted = z.object({
  type: z.literal('membershipWanted'),
  hosts: z.array(Name),
});

/** Revision of the configuration in force on the sender. */
export const HostRevision = z.object({
  type: z.literal('hostRevision'),
  incarnation: z.int().min(0),
  configurationRevision: z.int().min(0),
});

/** Endpoints that the host list newly marks as leaving, or as live again. */
export const EndpointsLeaving = z.object({
  type: z.literal('endpointsLeaving'),
  leaving: z.array(z.string()),
  live: z.array(z.string()),
});

/** Update of the load, state and residents of an engine. */
export const EngineUpdate = z.object({
  /** Engine id. */
  e: Name,
  /** Ownership epoch of the engine's owner. */
  p: z.int().min(0),
  /** Sequence number within the epoch. */
  s: z.int().min(0),
  /** Sequence number of the update that this one is relative to; -1 in a full update. */
  b: z.int().min(-1),
  state: z.enum(['unknown', 'live', 'leaving', 'unreachable']).optional(),
  /** Running and waiting requests. */
  l: z.tuple([z.int().min(0), z.int().min(0)]),
  /** Residents added; all residents in a full update. */
  add: z.array(z.string()).optional(),
  /** Residents removed. */
  del: z.array(z.string()).optional(),
});
export type EngineUpdate = z.infer<typeof EngineUpdate>;

/**
 * Engine updates from the owner of the engines, or from a relay to other zones. The field names of
 * an update are short because this message is frequent.
 */
export const EngineDelta = z.object({
  type: z.literal('engineDelta'),
  /** Root of the distribution tree in the zone, a relay; absent in messages from the owner. */
  root: Name.optional(),
  news: z.array(EngineUpdate),
});
export type EngineDelta = z.infer<typeof EngineDelta>;

/** Requests full updates of `engines`; an empty list requests all engines that the receiver owns. */
export const EngineWanted = z.object({ type: z.literal('engineWanted'), engines: z.array(Name) });

/** Address of a host that is known from the seeds or the host list, not from its entry. */
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

/** State of an engine as of the last update that was sent. */
export interface SentEngineState {
  epoch: number;
  sequence: number;
  state: EngineUpdate['state'];
  running: number;
  waiting: number;
  residents: Set<string>;
  sentAt: number;
}

/** Version and sender of the last update received of an engine; sequence -1 before the first. */
export interface ReceivedVersion {
  epoch: number;
  sequence: number;
  from: string;
  /** Monotonic ms of the last request for a full update. */
  requestedAt: number;
}

/** What this host knows about the other hosts and their engines. */
export class Membership {
  /** Entries of all known hosts, this one included. */
  readonly hosts = new Map<string, HostEntry>();
  /** Hosts with an open link whose handshake is complete. */
  readonly linkedHosts = new Set<string>();
  /** Monotonic ms since which a known host has had no link. */
  readonly unlinkedSince = new Map<string, number>();
  /** Addresses of the hosts to which this host has requested a link. */
  readonly requestedLinks = new Map<string, string>();
  /** Monotonic ms until which a link to a host outside the mesh is kept. */
  readonly onDemandUntil = new Map<string, number>();
  readonly addressHints = new Map<string, AddressHint>();
  /** Hosts whose changed entries are not sent yet, each with the host that the change came from. */
  readonly changedEntries = new Map<string, string>();
  /** Monotonic ms at which an entry was first seen as gone. */
  readonly goneSince = new Map<string, number>();
  /** Endpoints that the host list marks as leaving, with the monotonic ms of the last mark. */
  readonly leavingEndpoints = new Map<string, number>();
  /** States of the owned engines as last sent to other hosts. */
  readonly sentStates = new Map<string, SentEngineState>();
  /** States of this zone's engines as last sent to other zones by this relay. */
  readonly summarizedStates = new Map<string, SentEngineState>();
  /** Versions of the last updates received, by engine. */
  readonly receivedVersions = new Map<string, ReceivedVersion>();
  /** Bytes of engine updates that may be sent to each peer now. */
  creditBytes = 0;
  /** Monotonic ms at which `creditBytes` was last increased. */
  creditUpdatedAt = -Infinity;
  /** Monotonic ms at which an engine update was last repeated. */
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

/** Timers of the periodic rounds. */
export interface MembershipTimer {
  type: 'gossipRound' | 'digestRound' | 'summaryRound' | 'hostListRound';
}
