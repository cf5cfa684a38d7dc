import { z } from 'zod';

/** Record of a request that may crash engines; stored as row `suspect/F`. */
export const Suspect = z.object({
  fingerprint: z.string().min(1).max(128),
  /** Incremented when the suspect is cleared; a higher generation replaces lower ones. */
  generation: z.int().min(0),
  /**
   * Crashes while the request ran, as `ENGINE@BOOT`, or as `ENDPOINT@ATTEMPT` on gateways; duplicate
   * reports count once.
   */
  crashes: z.array(z.string().max(256)).max(64),
  /** Crashes from before it was cleared; late reports of them are ignored. */
  cleared: z.array(z.string().max(256)).max(64),
  /** Whether it is quarantined: it was the only earlier suspect on an engine that crashed. */
  isCondemned: z.boolean(),
  /** Retention hour of the last crash, or -1 when unknown. */
  hour: z.int().min(-1),
});
export type Suspect = z.infer<typeof Suspect>;

/**
 * Row of the directory with the suspects that crashed endpoints repeatedly, so that hosts learn of them
 * after a restart and without links to other hosts.
 */
export const SuspectsRow = z.object({ suspects: z.array(Suspect) });
export type SuspectsRow = z.infer<typeof SuspectsRow>;

export type Suspicion = 'clear' | 'suspect' | 'quarantined';

export const SuspectReported = z.object({ type: z.literal('suspectReported'), suspect: Suspect });
export type SuspectReported = z.infer<typeof SuspectReported>;

/** A request that ran on an engine. */
export interface EngineRun {
  fingerprint: string;
  /** Boot id of the engine at the time of the grant; absent for the last known one. */
  bootId?: string;
}

/** Suspects known to this host, and the evidence that may lead to new ones. */
export class Suspects {
  readonly byFingerprint = new Map<string, Suspect>();
  /** Monotonic ms at which each suspect expires. */
  readonly expiresAt = new Map<string, number>();
  /** Broken attempts by engine, kept until it is known whether the engine crashed. */
  readonly brokenAttempts = new Map<string, (EngineRun & { at: number })[]>();
  /** Engines that have refused connections since their last report. */
  readonly downEngines = new Set<string>();
  /** Pins to which a crash was attributed, so that a second report does not count them again. */
  readonly attributedPins = new WeakSet();
  /** Monotonic ms of the last scan of the rows. */
  polledAt = -Infinity;
  /** Row of suspects in the directory and its version; 0 while it is absent. */
  storedRow: SuspectsRow = { suspects: [] };
  storedVersion = 0;
  isWritingRow = false;

  private constructor() {}

  static create(): Suspects {
    return new Suspects();
  }
}

export type SuspectTimer =
  | { type: 'suspectExpiry'; fingerprint: string }
  | { type: 'syncSuspect'; fingerprint: string }
  | { type: 'pollSuspects' }
  | { type: 'writeSuspectsRow' }
  | { type: 'attributeCrashToPins'; engine: string; bootId: string; before: number };

export type SuspectTablePurpose =
  | { type: 'scanSuspects' }
  | { type: 'readSuspect'; fingerprint: string }
  | { type: 'writeSuspect'; fingerprint: string }
  | { type: 'deleteSuspect' };
