import {
  PAIRS_MS_PER_M,
  PROMPT_BATCH_TOKENS,
  PROMPT_TOKENS_PER_MS,
  READ_LIMIT_MS,
} from './constants.ts';
import type { OwnedEngine, Place } from './types.ts';

/** Returns the time that an engine takes to read a prompt, in ms. */
export function getReadMs(promptTokens: number): number {
  return promptTokens / PROMPT_TOKENS_PER_MS + (promptTokens ** 2 / 1e6) * PAIRS_MS_PER_M;
}

/** Returns the time until an engine has read what it was sent, in ms. */
export function getBacklogMs({ readingTokens }: OwnedEngine): number {
  return readingTokens / PROMPT_TOKENS_PER_MS;
}

/**
 * Whether an engine may be sent another prompt. It reads the prompts that it has between two events
 * of all its streams, so their sum bounds the pauses of the streams.
 */
export function canSendPrompt({ readingTokens }: OwnedEngine, promptTokens: number): boolean {
  return readingTokens === 0 || readingTokens + promptTokens <= PROMPT_BATCH_TOKENS;
}

/** Notes that an engine has read the prompt of a request: it sent the first event. */
export function noteRead(owned: OwnedEngine, place: Place): void {
  if (!place.isReading) return;
  place.isReading = false;
  owned.readingTokens -= place.promptTokens;
}

/** Takes prompts for read whose first event was not heard of in time. */
export function expireReading(owned: OwnedEngine, now: number): void {
  for (const place of owned.places.values()) {
    if (place.givenAt + READ_LIMIT_MS <= now) noteRead(owned, place);
  }
}
