import { z } from 'zod';
import { Name } from '../configuration/types.ts';

export const ZoneMember = z.object({ host: Name, incarnation: z.int().min(0) });
export type ZoneMember = z.infer<typeof ZoneMember>;

/** Row `zone/Z`: members of a zone that may own its engines. */
export const ZoneRow = z.object({ epoch: z.int().min(1), members: z.array(ZoneMember) });
export type ZoneRow = z.infer<typeof ZoneRow>;

/** Row `host/Z/H`: lease of a host. */
export const Lease = z.object({
  incarnation: z.int().min(0),
  /** Grows with each renewal. */
  renewal: z.int().min(0),
  /** Highest epoch of the zone row that the host acts by. */
  seenEpoch: z.int().min(0),
  address: z.string(),
  state: z.string(),
});
export type Lease = z.infer<typeof Lease>;

const Epoch = z.int().min(0);

/** The newest zone row that the sender knows, after the rows before it, by growing epoch. */
export const ZoneRowSeen = z.object({
  type: z.literal('zoneRowSeen'),
  zone: Name,
  rows: z.array(ZoneRow).min(1),
});

export type ZoneRowSeen = z.infer<typeof ZoneRowSeen>;

/** Tells up to which epoch the sender has given up what it no longer owns. */
export const EpochSeen = z.object({
  type: z.literal('epochSeen'),
  incarnation: z.int().min(0),
  epoch: Epoch,
});

/** Asks the predecessor for its pins on engines. */
export const HandoverAsked = z.object({
  type: z.literal('handoverAsked'),
  engines: z.array(Name),
});

/** Pins of an engine that the sender gave up at `epoch`. Times are remaining ms. */
export const Handover = z.object({
  type: z.literal('handover'),
  engine: Name,
  epoch: Epoch,
  /** Host that gave the engine up; a receiver that is not the owner any more passes it on. */
  predecessor: ZoneMember,
  /** Whether `pins` has every request that may run on the engine. */
  isComplete: z.boolean(),
  pins: z.array(
    z.object({
      grant: z.string(),
      request: z.string(),
      host: Name,
      model: z.string(),
      firm: z.string(),
      fingerprint: z.string(),
      remainingMs: z.number(),
    }),
  ),
  /** Adapters with an unload order in flight. */
  unloading: z.array(z.string()),
});
export type Handover = z.infer<typeof Handover>;

export const HandoverTaken = z.object({ type: z.literal('handoverTaken'), engine: Name });

/** Asks not to remove the sender from the zone row for `PROMISE_MS`. */
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
  /** Epoch that the sender knows. */
  epoch: Epoch,
});

/** A zone row with the owners that follow from it. */
export interface KnownZoneRow {
  row: ZoneRow;
  /** Monotonic ms at which this host first saw the row. */
  seenAt: number;
  /** Cache of owners by engine. */
  owners: Map<string, ZoneMember | undefined>;
}

/** An engine that this host owns and decides for. */
export interface AcquiredEngine {
  /** Monotonic ms since which no other host can decide for the engine. */
  acquiredAt: number;
  /** Epoch at which the engine became this host's. */
  epoch: number;
  /** Owner before; null when there was none, undefined when it is not known. */
  predecessor: ZoneMember | null | undefined;
  /** Whether all pins of the predecessor were handed over. */
  isHandedOver: boolean;
  handoverRequestedAt: number;
}

/** Pins of an engine that this host gave up. */
export interface OutgoingHandover {
  handover: Omit<Handover, 'pins'>;
  pins: (Omit<Handover['pins'][number], 'remainingMs'> & { expiresAt: number })[];
  capturedAt: number;
  isAcknowledged: boolean;
}

/** What a watcher has seen of a member's lease. */
export interface ObservedLease {
  incarnation: number;
  renewal: number;
  /** Version of the lease row with this renewal; empty when there is no row. */
  version: string;
  /** Monotonic ms at which the renewal was first seen. */
  firstSeenAt: number;
}

/** A conditional write of the zone row whose result is not known yet. */
export interface PendingZoneRowWrite {
  epoch: number;
  removedHosts: string[];
}

export type OwnershipPhase = 'active' | 'leaving' | 'left' | 'superseded';

/** Zone rows, lease and promises as this host knows them. */
export class Ownership {
  /** Alone: no table is used and this host owns every engine. */
  mode: 'standalone' | 'clustered' = 'standalone';
  phase: OwnershipPhase = 'active';
  /** Last zone row known; undefined before the first read. */
  row: ZoneRow | undefined;
  /** Version of `row` in the table; empty when the row is known from a message only. */
  rowVersion = '';
  /** Rows known of this zone by growing epoch; the last one is `row`. */
  readonly history: KnownZoneRow[] = [];
  /** Last rows known of the other zones. */
  readonly otherZoneRows = new Map<string, KnownZoneRow>();
  /** Monotonic ms of the last adopted row or acknowledgement. */
  changedAt = -Infinity;
  pendingWrite: PendingZoneRowWrite | undefined;

  renewal = 0;
  /** Version of the own lease row; empty when there is none, undefined before it is known. */
  leaseVersion: string | undefined;
  /** Start of the renewal under way; -Infinity when there is none. */
  renewingSince = -Infinity;
  /** Monotonic ms of sending of the last renewal after which the row named this host. */
  leaseConfirmedAt = -Infinity;
  /** Monotonic ms until which this host's lease is valid. */
  leaseValidUntil = -Infinity;
  /** Monotonic ms of the last turn of the loop, and of the end of the last pause. */
  lastTurnAt = -Infinity;
  resumedAt = -Infinity;

  readonly observedLeases = new Map<string, ObservedLease>();
  leasesScannedAt = -Infinity;
  /** Highest epoch acknowledged, by `host/incarnation`. */
  readonly acknowledgedEpochs = new Map<string, number>();
  /** Epoch up to which this host has given up everything, and orders in flight that delay it. */
  releasedEpoch = 0;
  unloadsInFlightUntil = -Infinity;
  readonly acquiredEngines = new Map<string, AcquiredEngine>();
  /** Last handover received, by engine. */
  readonly receivedHandovers = new Map<string, Handover>();
  readonly outgoingHandovers = new Map<string, OutgoingHandover>();
  leftAt = Infinity;

  nextPromiseRequest = 0;
  promisesRequestedAt = -Infinity;
  /** Monotonic ms of sending, by ask. */
  readonly promiseRequestsSentAt = new Map<number, number>();
  readonly receivedPromises = new Map<string, { sentAt: number; until: number; epoch: number }>();
  /** Monotonic ms until which a member may not be removed. */
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
  /** `renewedAt` is the time of sending of the renewal that the read confirms. */
  | { type: 'readZoneRow'; renewedAt: number }
  | { type: 'writeZoneRow'; row: ZoneRow; renewedAt: number }
  | { type: 'scanZones' };
