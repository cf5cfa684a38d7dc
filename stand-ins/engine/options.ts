import { z } from 'zod';
import { CommonFaults, ListenOptions } from '../server.ts';

export const EngineOptions = ListenOptions.extend({
  id: z.string().default('engine'),
  /** Adapters that can be resident at a time. */
  slots: z.int().min(1).default(8),
  /** Requests that run at a time. */
  maxBatch: z.int().min(1).default(16),
  /** Time in which the batch generates one token for each request. */
  stepMs: z.number().min(0).default(20),
  /** Prompt blocks that one step processes. */
  blocksPerStep: z.int().min(1).default(16),
  /** Time after a crash or a restart before the engine listens. */
  coldStartMs: z.number().min(0).default(2_000),
  /** Time for which the request of a broken connection can be resumed. */
  resumeWindowMs: z.number().min(0).default(1_500),
  checksFencing: z.boolean().default(true),
  reportLagMs: z.number().min(0).default(200),
  cacheBlocks: z.int().min(1).default(4_096),
  eventLagMs: z.number().min(0).default(300),
  eventGapEvery: z.int().min(0).default(50),
});
export type EngineOptions = z.infer<typeof EngineOptions>;

export const EngineFaults = CommonFaults.extend({
  /** The engine crashes when it starts a prompt that contains this text. */
  crashOn: z.string().default(''),
  /** Adapters, as `adapter@version`, whose loads fail. */
  failLoadsOf: z.array(z.string()).default([]),
  reportModel: z.string().default(''),
  duplicateChunks: z.boolean().default(false),
  reorderChunks: z.boolean().default(false),
  breakAfter: z.int().min(0).default(0),
});
export type EngineFaults = z.infer<typeof EngineFaults>;
