import {
  ATTENTION_MS_PER_MILLION_PAIRS,
  MAX_PENDING_PREFILL_TOKENS,
  PREFILL_TOKENS_PER_MS,
  PREFILL_TIMEOUT_MS,
} from './constants.ts';
import type { EngineResidency, Reservation } from './types.ts';

/** Returns the expected prefill time of a prompt, in ms. */
export function getPrefillMs(promptTokens: number): number {
  return (
    promptTokens / PREFILL_TOKENS_PER_MS +
    (promptTokens ** 2 / 1e6) * ATTENTION_MS_PER_MILLION_PAIRS
  );
}

/** Returns the expected time until an engine has processed its pending prompts, in ms. */
export function getPrefillBacklogMs({ pendingPrefillTokens }: EngineResidency): number {
  return pendingPrefillTokens / PREFILL_TOKENS_PER_MS;
}

/**
 * Whether an engine may be sent another prompt. The engine processes pending prompts between two
 * events of all its streams, so their total size bounds the pauses of the streams.
 */
export function canSendPrompt(
  { pendingPrefillTokens }: EngineResidency,
  promptTokens: number,
): boolean {
  return (
    pendingPrefillTokens === 0 || pendingPrefillTokens + promptTokens <= MAX_PENDING_PREFILL_TOKENS
  );
}

/** Records that an engine has processed the prompt of a reservation. */
export function completePrefill(owned: EngineResidency, reservation: Reservation): void {
  if (!reservation.isPrefilling) return;
  reservation.isPrefilling = false;
  owned.pendingPrefillTokens -= reservation.promptTokens;
}

/** Completes the prefill of reservations without a first event after `PREFILL_TIMEOUT_MS`. */
export function expirePrefills(owned: EngineResidency, now: number): void {
  for (const reservation of owned.reservations.values()) {
    if (reservation.grantedAt + PREFILL_TIMEOUT_MS <= now) completePrefill(owned, reservation);
  }
}
