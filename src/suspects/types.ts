import { z } from 'zod';
import type { Attribute } from './attributes.ts';
import { Completions } from './completions.ts';
import { MAX_SUSPECT_REQUESTS } from './constants.ts';

/** Record of what may crash engines; stored as row `suspect/ATTRIBUTE`. */
export const Suspect = z.object({
  /** Key of the attribute: the fingerprint of a request, or what requests share, as `KIND:VALUE`. */
  attribute: z.string().min(1).max(256),
  /** Position of a prompt part; 0 for other kinds. */
  depth: z.int().min(0).default(0),
  /** Incremented when the suspect is cleared; a higher generation replaces lower ones. */
  generation: z.int().min(0),
  /**
   * Crashes while a request with the attribute ran, as `ENGINE@START`. `START` is the boot id or, on
   * gateways, the Unix ms of its start, where crashes of a request end with `/ATTEMPT`. Duplicate reports
   * count once.
   */
  crashes: z.array(z.string().max(256)).max(64),
  /** Crashes from before it was cleared; late reports of them are ignored. */
  cleared: z.array(z.string().max(256)).max(64),
  /** Fingerprints of different requests that ran at these crashes; two are enough to tell. */
  requests: z.array(z.string().max(128)).max(MAX_SUSPECT_REQUESTS).default([]),
  /** Most crashes in a row of which each one's request was sent when the one before was known. */
  streak: z.int().min(0).default(0),
  /** Whether a request with the attribute is known to have been completed. */
  isProven: z.boolean().default(false),
  /** Requests that ran as trials since the quarantine began. */
  trials: z.int().min(0).default(0),
  /** Whether it is a cause beyond doubt: it was the only earlier suspect on an engine that crashed. */
  isQuarantined: z.boolean(),
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

export const SuspectsReported = z.object({
  type: z.literal('suspectsReported'),
  suspects: z.array(Suspect),
});
export type SuspectsReported = z.infer<typeof SuspectsReported>;

/** An attribute of a request, with what was known of it when the request was sent. */
export interface SentAttribute extends Attribute {
  generation: number;
  streak: number;
}

/** A request that ran on an engine. */
export interface EngineRun {
  fingerprint: string;
  /** Boot id of the engine at the time of the grant; absent for the last known one. */
  bootId?: string;
}

/** Suspects known to this host, and the evidence that may lead to new ones. */
export class Suspects {
  readonly byAttribute = new Map<string, Suspect>();
  /** Attributes with crashes of which they were not cleared. */
  readonly active = new Set<string>();
  /** Attributes that explain crashes, as decided after the last change of a record. */
  quarantined: ReadonlySet<string> = new Set();
  /** Monotonic ms at which that was decided last. */
  decidedAt = -Infinity;
  isDecisionScheduled = false;
  /** What other hosts have reported since then, for the log. */
  readonly reports = { hosts: new Set<string>(), attributes: new Set<string>() };
  readonly completions = Completions.create();
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
  isRowWriteScheduled = false;
  /** Writes in a row before which another host had written the row. */
  rowConflicts = 0;

  private constructor() {}

  static create(): Suspects {
    return new Suspects();
  }
}

export type SuspectTimer =
  | { type: 'suspectExpiry'; attribute: string }
  | { type: 'syncSuspect'; attribute: string }
  | { type: 'pollSuspects' }
  /** Decides again what is quarantined. */
  | { type: 'decideQuarantines' }
  | { type: 'writeSuspectsRow' }
  | { type: 'attributeCrashToPins'; engine: string; bootId: string; before: number };

export type SuspectTablePurpose =
  | { type: 'scanSuspects' }
  | { type: 'readSuspect'; attribute: string }
  | { type: 'writeSuspect'; attribute: string }
  | { type: 'deleteSuspect' };
