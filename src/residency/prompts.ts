import {
  PAIRS_MS_PER_M,
  PROMPT_BATCH_TOKENS,
  PROMPT_GAP_MS,
  PROMPT_TOKENS_PER_MS,
} from './constants.ts';
import type { OwnedEngine } from './types.ts';

/** Returns the time that an engine takes to read a prompt, in ms. */
export function getReadMs(promptTokens: number): number {
  return promptTokens / PROMPT_TOKENS_PER_MS + (promptTokens ** 2 / 1e6) * PAIRS_MS_PER_M;
}

/**
 * Whether an engine may be sent another prompt now. Prompts go in batches with a gap between them:
 * an engine that always has prompts to read delays every event of its streams.
 */
export function canSendPrompt(owned: OwnedEngine, promptTokens: number, now: number): boolean {
  if (now >= getNextBatchAt(owned)) return true;
  return now < owned.readUntil && owned.batchTokens + promptTokens <= PROMPT_BATCH_TOKENS;
}

/** Notes that a prompt was sent. */
export function noteSentPrompt(owned: OwnedEngine, promptTokens: number, now: number): void {
  if (now >= getNextBatchAt(owned)) owned.batchTokens = 0;
  owned.batchTokens += promptTokens;
  owned.readUntil = Math.max(owned.readUntil, now) + getReadMs(promptTokens);
}

/** Returns the monotonic ms from which the next batch may begin. */
export function getNextBatchAt({ readUntil }: OwnedEngine): number {
  return readUntil + PROMPT_GAP_MS;
}
