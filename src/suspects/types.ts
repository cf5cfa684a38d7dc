import { z } from 'zod';

/** What is known of a request that may crash engines; also row `suspect/F`. */
export const Suspect = z.object({
  fingerprint: z.string().min(1).max(128),
  /** Grows when the suspect is cleared; a higher generation replaces all that was known. */
  generation: z.int().min(0),
  /** Crashes under the request, as `ENGINE@BOOT`; two reports of one crash count once. */
  crashes: z.array(z.string().max(256)).max(64),
  /** Crashes before it was cleared; late reports of them do not count again. */
  cleared: z.array(z.string().max(256)).max(64),
  /** Whether it crashed an engine as the only suspect there. */
  isCondemned: z.boolean(),
  /** Retention hour of the last crash, or -1 when it was not known. */
  hour: z.int().min(-1),
});
export type Suspect = z.infer<typeof Suspect>;

export type Suspicion = 'clear' | 'suspect' | 'quarantined';

export const SuspectReported = z.object({ type: z.literal('suspectReported'), suspect: Suspect });
export type SuspectReported = z.infer<typeof SuspectReported>;

/** A request that ran on an engine. */
export interface EngineRun {
  fingerprint: string;
  /** Boot id of the engine when the grant was given; the last known one when absent. */
  bootId?: string;
}

/** What this host knows of requests that may crash engines. */
export class Suspects {
  readonly byFingerprint = new Map<string, Suspect>();
  /** Monotonic ms at which a suspect is forgotten. */
  readonly expiresAt = new Map<string, number>();
  /** Attempts that broke, by engine, until it is known whether the engine crashed. */
  readonly brokenAttempts = new Map<string, (EngineRun & { at: number })[]>();
  /** Engines that refuse connections since their last report. */
  readonly downEngines = new Set<string>();
  /** Pins that were blamed, so that a second report does not blame them again. */
  readonly attributedPins = new WeakSet();
  /** Monotonic ms of the last read of the rows. */
  polledAt = -Infinity;

  private constructor() {}

  static create(): Suspects {
    return new Suspects();
  }
}

export type SuspectTimer =
  | { type: 'suspectExpiry'; fingerprint: string }
  | { type: 'syncSuspect'; fingerprint: string }
  | { type: 'pollSuspects' }
  | { type: 'attributeCrashToPins'; engine: string; bootId: string; before: number };

export type SuspectTablePurpose =
  | { type: 'scanSuspects' }
  | { type: 'readSuspect'; fingerprint: string }
  | { type: 'writeSuspect'; fingerprint: string }
  | { type: 'deleteSuspect' };
