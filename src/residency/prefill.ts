import {
  ATTENTION_MS_PER_MILLION_PAIRS,
  MAX_PENDING_PREFILL_TOKENS,
  PREFILL_TOKENS_PER_MS,
  PREFILL_TIMEOUT_MS,
} from './constants.ts';
import type { EngineResidency, Reservation } from './types.ts';

/** Returns the time that an engine takes to read a prompt, in ms. */
export function getPrefillMs(promptTokens: number): number {
  return (
    promptTokens / PREFILL_TOKENS_PER_MS +
    (promptTokens ** 2 / 1e6) * ATTENTION_MS_PER_MILLION_PAIRS
  );
}

/** Returns the time until an engine has read what it was sent, in ms. */
export function getPrefillBacklogMs({
  pendingPrefillTokens: readingTokens,
}: EngineResidency): number {
  return readingTokens / PREFILL_TOKENS_PER_MS;
}

/**
 * Whether an engine may be sent another prompt. It reads the prompts that it has between two events
 * of all its streams, so their sum bounds the pauses of the streams.
 */
export function canSendPrompt(
  { pendingPrefillTokens: readingTokens }: EngineResidency,
  promptTokens: number,
): boolean {
  return readingTokens === 0 || readingTokens + promptTokens <= MAX_PENDING_PREFILL_TOKENS;
}

/** Notes that an engine has read the prompt of a request: it sent the first event. */
export function completePrefill(owned: EngineResidency, place: Reservation): void {
  if (!place.isPrefilling) return;
  place.isPrefilling = false;
  owned.pendingPrefillTokens -= place.promptTokens;
}

/** Takes prompts for read whose first event was not heard of in time. */
export function expirePrefills(owned: EngineResidency, now: number): void {
  for (const place of owned.reservations.values()) {
    if (place.grantedAt + PREFILL_TIMEOUT_MS <= now) completePrefill(owned, place);
  }
}
