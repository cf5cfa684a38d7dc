import { z } from 'zod';

/** A host that may own engines. */
export const Member = z.object({
  host: z.string().min(1),
  /** Increases with each start of the host. */
  incarnation: z.int().min(0),
  zone: z.string(),
  /** `IP:PORT` of the peer listener. */
  address: z.string(),
  /** Whether the host owns engines; a member that does not is on standby. */
  isOwner: z.boolean(),
  /** Processor capacity relative to other members; hosts of earlier versions omit it. */
  capacity: z.number().positive().optional(),
  /** Host that suspects this one to have failed; the member itself clears it. */
  suspectedBy: z.string().optional(),
  /** Engines that it can't order, as it doesn't reach them directly; some of them, if there are many. */
  unreachable: z.array(z.string()).optional(),
  /** Whether it reaches no engine directly, so that it can order none. */
  isCutOff: z.boolean().optional(),
});
export type Member = z.infer<typeof Member>;

/** The hosts that share the engines. Each change increments `epoch`, the fencing number of orders. */
export const MembersRow = z.object({
  epoch: z.int().min(1),
  members: z.array(Member),
});
export type MembersRow = z.infer<typeof MembersRow>;

/** Tells a host of the newest members row that the sender has read, which may lack the host. */
export const MembersRowSeen = z.object({
  type: z.literal('membersRowSeen'),
  epoch: z.int().min(1),
});

/** Asks a member to add the sender to the members row, together with others that ask it. */
export const JoinRequest = z.object({ type: z.literal('joinAsked'), member: Member });
export type JoinRequest = z.infer<typeof JoinRequest>;

/** The host that issues the orders to an engine, and the fencing number of its orders. */
export interface Owner {
  host: string;
  epoch: number;
}

/** This host's state of the members row, links and suspicions. */
export class Owners {
  row: MembersRow | undefined;
  /** Row that `row` replaced, and monotonic ms at which `row` was adopted. */
  previousRow: MembersRow | undefined;
  adoptedAt = -Infinity;
  /** Sizes of replaced rows, in descending order, and monotonic ms at which each was replaced. */
  formerRows: { size: number; replacedAt: number }[] = [];
  /** Monotonic ms at which this host started. */
  startedAt = -Infinity;
  /** Version of `row` in the directory; undefined if the row is known only from a peer. */
  version: number | undefined;
  isWriting = false;
  /** Whether the directory lost `row`, so that it must be written again. */
  isRowLost = false;
  /** Number of consecutive failed writes, up to 8. */
  failedWrites = 0;
  /** Monotonic ms before which no write starts after a failed one. */
  nextWriteAt = -Infinity;
  /** Whether this host is removing itself from the row. */
  isLeaving = false;
  /** Monotonic ms at which this host first knew a row without itself; undefined while it is a member. */
  joinStartedAt: number | undefined;
  /** Monotonic ms at which this host last asked a member to add it. */
  joinAskedAt = -Infinity;
  /** Entries of hosts that asked this one to add them, by host. */
  readonly joiners = new Map<string, Member>();
  isAdmissionScheduled = false;
  /** Hosts with an open link. */
  readonly linkedHosts = new Set<string>();
  /** Monotonic ms from which a member without a link counts as silent, by host. */
  readonly linkClosedAt = new Map<string, number>();
  /** Monotonic ms at which this host first saw a suspicion, by suspected host. */
  readonly suspectedAt = new Map<string, number>();
  /** Cache of the owners under `row`, by engine. */
  readonly ownerByEngine = new Map<string, Owner | undefined>();

  private constructor() {}

  static create(): Owners {
    return new Owners();
  }
}

export type OwnersTimer =
  | { type: 'joinMembers' }
  | { type: 'maintainMembers' }
  /** Adds the hosts to the row that asked for it. */
  | { type: 'admitJoiners' };

/** Events of the links between hosts. */
export type LinkEvent =
  { type: 'linkOpened'; host: string } | { type: 'linkClosed'; host: string; reason: string };

export type LinkEffect =
  { type: 'openLink'; host: string; address: string } | { type: 'closeLink'; host: string };
