import { z } from 'zod';
import { CommonFaults, ListenOptions } from '../server.ts';

/** Options of the engine stand-in. */
export const EngineOptions = ListenOptions.extend({
  id: z.string().default('engine'),
  /** Maximum number of resident adapters. */
  slots: z.int().min(1).default(8),
  /** Maximum number of concurrent requests. */
  maxBatch: z.int().min(1).default(16),
  /** Duration of a batch step, which generates one token per request. */
  stepMs: z.number().min(0).default(20),
  /** Prompt blocks of one request that a step prefills. */
  blocksPerStep: z.int().min(1).default(16),
  /** Time after a crash before the engine listens again. */
  coldStartMs: z.number().min(0).default(2_000),
  /** Time for which a request can be resumed after its connection closed. */
  resumeWindowMs: z.number().min(0).default(1_500),
  /** Refuses orders with a lower fencing number than the highest one received. */
  checksFencing: z.boolean().default(true),
  /** Age of the load report. */
  reportLagMs: z.number().min(0).default(200),
  /** Capacity of the prefix cache in blocks. */
  cacheBlocks: z.int().min(1).default(4_096),
  /** Delay before cache events are published. */
  eventLagMs: z.number().min(0).default(300),
  /** Every event whose number is a multiple of this is lost; 0 loses none. */
  eventGapEvery: z.int().min(0).default(50),
});
export type EngineOptions = z.infer<typeof EngineOptions>;

/** Fault settings of the engine stand-in. */
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
