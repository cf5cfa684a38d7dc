import { z } from 'zod';
import { Name } from '../configuration/types.ts';

export const ZoneMember = z.object({ host: Name, incarnation: z.int().min(0) });
export type ZoneMember = z.infer<typeof ZoneMember>;

/** Row `zone/Z`: the members of a zone, which may own its engines. */
export const ZoneRow = z.object({ epoch: z.int().min(1), members: z.array(ZoneMember) });
export type ZoneRow = z.infer<typeof ZoneRow>;

/** Row `host/Z/H`: the lease of a host. */
export const Lease = z.object({
  incarnation: z.int().min(0),
  /** Increases with each renewal. */
  renewal: z.int().min(0),
  /** Epoch up to which the host has released the engines it lost. */
  seenEpoch: z.int().min(0),
  address: z.string(),
  state: z.string(),
});
export type Lease = z.infer<typeof Lease>;

const Epoch = z.int().min(0);

/** Announces the sender's latest zone row and the rows before it, in ascending epoch order. */
export const ZoneRowSeen = z.object({
  type: z.literal('zoneRowSeen'),
  zone: Name,
  rows: z.array(ZoneRow).min(1),
});

export type ZoneRowSeen = z.infer<typeof ZoneRowSeen>;

/** Announces the epoch up to which the sender has released the engines it lost. */
export const EpochSeen = z.object({
  type: z.literal('epochSeen'),
  incarnation: z.int().min(0),
  epoch: Epoch,
});

/** Requests the handover of engines from their predecessor. */
export const HandoverAsked = z.object({
  type: z.literal('handoverAsked'),
  engines: z.array(Name),
});

/** Pins of an engine that `predecessor` lost at `epoch`. */
export const Handover = z.object({
  type: z.literal('handover'),
  engine: Name,
  epoch: Epoch,
  /** Host that lost the engine. The sender may be another host that only forwards the message. */
  predecessor: ZoneMember,
  /** Whether `pins` covers every request that may run on the engine. */
  isComplete: z.boolean(),
  pins: z.array(
    z.object({
      grant: z.string(),
      request: z.string(),
      host: Name,
      /** `adapter@version` */
      model: z.string(),
      firm: z.string(),
      fingerprint: z.string(),
      /** Time until the pin expires, in ms. */
      remainingMs: z.number(),
    }),
  ),
  /** Adapters with an unload order in flight, each as `adapter@version`. */
  unloading: z.array(z.string()),
});
export type Handover = z.infer<typeof Handover>;

/** Acknowledges a handover. */
export const HandoverTaken = z.object({ type: z.literal('handoverTaken'), engine: Name });

/** Requests a promise not to remove the sender from the zone row for `PROMISE_TTL_MS`. */
export const PromiseAsked = z.object({
  type: z.literal('promiseAsked'),
  ask: z.int().min(0),
  epoch: Epoch,
  incarnation: z.int().min(0),
});
export type PromiseAsked = z.infer<typeof PromiseAsked>;

export const PromiseGiven = z.object({
  type: z.literal('promiseGiven'),
  ask: z.int().min(0),
  epoch: Epoch,
});

export const PromiseRefused = z.object({
  type: z.literal('promiseRefused'),
  ask: z.int().min(0),
  /** Epoch of the sender's zone row; 0 if it knows none. */
  epoch: Epoch,
});

/** A zone row with a cache of the owners that it determines. */
export interface KnownZoneRow {
  row: ZoneRow;
  /** Monotonic ms at which this host first saw the row. */
  seenAt: number;
  owners: Map<string, ZoneMember | undefined>;
}

/** An engine that this host owns and makes the decisions for. */
export interface AcquiredEngine {
  /** Monotonic ms from which no other host can act for the engine. */
  acquiredAt: number;
  /** Epoch at which the engine was assigned to this host. */
  epoch: number;
  /**
   * Previous owner; null if there was none, undefined if it is unknown or an earlier incarnation of
   * this host.
   */
  predecessor: ZoneMember | null | undefined;
  /** Whether a complete handover from the predecessor has arrived. */
  isHandedOver: boolean;
  handoverRequestedAt: number;
}

/** Handover of an engine that this host lost, kept so that it can be sent again. */
export interface OutgoingHandover {
  handover: Omit<Handover, 'pins'>;
  pins: (Omit<Handover['pins'][number], 'remainingMs'> & { expiresAt: number })[];
  capturedAt: number;
  isAcknowledged: boolean;
}

/** The last renewal of a host's lease that this host has read. */
export interface ObservedLease {
  incarnation: number;
  renewal: number;
  /** Version of the lease row with this renewal; empty if no row has been read. */
  version: string;
  /** Monotonic ms of the first read of this renewal; silence counts from here. */
  firstSeenAt: number;
}

/** A conditional write of the zone row whose result is unknown. */
export interface PendingZoneRowWrite {
  epoch: number;
  removedHosts: string[];
}

export type OwnershipPhase = 'active' | 'leaving' | 'left' | 'superseded';

/** This host's state of zone rows, leases, promises and handovers. */
export class Ownership {
  /** Standalone: this host uses no table and owns every engine. */
  mode: 'standalone' | 'clustered' = 'standalone';
  phase: OwnershipPhase = 'active';
  /** Latest known row of this zone; undefined before the first one arrives. */
  row: ZoneRow | undefined;
  /** Version of `row` in the table; empty if the row is known only from a message. */
  rowVersion = '';
  /** Known rows of this zone in ascending epoch order; the last one is `row`. */
  readonly history: KnownZoneRow[] = [];
  /** Latest known row of each other zone. */
  readonly otherZoneRows = new Map<string, KnownZoneRow>();
  /** Monotonic ms of the last new row, acknowledgement or handover. */
  changedAt = -Infinity;
  pendingWrite: PendingZoneRowWrite | undefined;

  renewal = 0;
  /** Version of this host's lease row; empty if there is no row, undefined before it is known. */
  leaseVersion: string | undefined;
  /** Monotonic ms of the start of the renewal in flight; -Infinity if there is none. */
  renewingSince = -Infinity;
  /** Monotonic ms at which the last renewal confirmed by the zone row was sent. */
  leaseConfirmedAt = -Infinity;
  /** Monotonic ms until which this host's lease is valid. */
  leaseValidUntil = -Infinity;
  /** Monotonic ms of the last turn of the event loop, and of the end of the last pause. */
  lastTurnAt = -Infinity;
  resumedAt = -Infinity;

  readonly observedLeases = new Map<string, ObservedLease>();
  leasesScannedAt = -Infinity;
  /** Highest acknowledged epoch, by `host/incarnation`. */
  readonly acknowledgedEpochs = new Map<string, number>();
  /**
   * Epoch up to which this host has released the engines it lost, and monotonic ms until which unload
   * orders in flight delay its increase.
   */
  releasedEpoch = 0;
  unloadsInFlightUntil = -Infinity;
  readonly acquiredEngines = new Map<string, AcquiredEngine>();
  /** Last received handover, by engine. */
  readonly receivedHandovers = new Map<string, Handover>();
  readonly outgoingHandovers = new Map<string, OutgoingHandover>();
  leftAt = Infinity;

  nextPromiseRequest = 0;
  promisesRequestedAt = -Infinity;
  /** Monotonic ms at which a promise request was sent, by its number. */
  readonly promiseRequestsSentAt = new Map<number, number>();
  readonly receivedPromises = new Map<string, { sentAt: number; until: number; epoch: number }>();
  /** Monotonic ms until which this host may not remove a member, by host. */
  readonly promisedUntil = new Map<string, number>();

  private constructor() {}

  static create(): Ownership {
    return new Ownership();
  }
}

export type OwnershipTimer =
  | { type: 'ownershipTick' }
  | { type: 'renewLease' }
  | { type: 'readZoneRow'; renewedAt: number }
  | { type: 'scanZones' }
  | { type: 'inheritedUnloadExpiry'; engine: string; model: string; at: number };

export type OwnershipPurpose =
  | { type: 'readLease'; renewal: number; sentAt: number; isRetry: boolean }
  | { type: 'writeLease'; renewal: number; isRetry: boolean }
  | { type: 'deleteLease' }
  | { type: 'scanLeases' }
  /** `renewedAt` is the monotonic ms at which the renewal confirmed by the read was sent. */
  | { type: 'readZoneRow'; renewedAt: number }
  | { type: 'writeZoneRow'; row: ZoneRow; renewedAt: number }
  | { type: 'scanZones' };
