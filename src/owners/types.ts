import { z } from 'zod';

/** A host that may own engines. */
export const Member = z.object({
  host: z.string().min(1),
  /** Grows with each start of the host. */
  incarnation: z.int().min(0),
  zone: z.string(),
  /** `IP:PORT` of the peer listener. */
  address: z.string(),
  /** Whether it decides about engines; the others of its zone stand by. */
  isOwner: z.boolean(),
  /** Host that suspects this one of being gone; cleared by the member itself. */
  suspectedBy: z.string().optional(),
});
export type Member = z.infer<typeof Member>;

/** The hosts that share the engines. Each change adds one to `epoch`, which is the fencing number. */
export const MembersRow = z.object({
  epoch: z.int().min(1),
  members: z.array(Member),
});
export type MembersRow = z.infer<typeof MembersRow>;

/** Host that decides about the adapters of an engine, and the fencing number of its orders. */
export interface Owner {
  host: string;
  epoch: number;
}

/** What this host knows of the members. */
export class Owners {
  row: MembersRow | undefined;
  /** Row before `row`, and the monotonic ms at which `row` was adopted. */
  previousRow: MembersRow | undefined;
  adoptedAt = -Infinity;
  /** Version of `row` in the directory; undefined when it is known from a peer only. */
  version: number | undefined;
  isWriting = false;
  /** Writes in a row that had no effect. */
  failedWrites = 0;
  /** Monotonic ms before which no write is started after one failed. */
  nextWriteAt = -Infinity;
  /** Whether this host takes itself out of the row. */
  isLeaving = false;
  /** Hosts with an open link. */
  readonly linkedHosts = new Set<string>();
  /** Monotonic ms at which the link of a member closed. */
  readonly linkClosedAt = new Map<string, number>();
  /** Monotonic ms at which a suspicion was first seen, by host. */
  readonly suspectedAt = new Map<string, number>();
  /** Cache of owners by engine for `row`. */
  readonly ownerByEngine = new Map<string, Owner | undefined>();

  private constructor() {}

  static create(): Owners {
    return new Owners();
  }
}

export type OwnersTimer = { type: 'joinMembers' } | { type: 'maintainMembers' };

/** Reported by the links between hosts. */
export type LinkEvent =
  { type: 'linkOpened'; host: string } | { type: 'linkClosed'; host: string; reason: string };

export type LinkEffect =
  { type: 'openLink'; host: string; address: string } | { type: 'closeLink'; host: string };
