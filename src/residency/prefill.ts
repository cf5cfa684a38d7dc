import {
  ATTENTION_MS_PER_MILLION_PAIRS,
  LONG_PROMPT_SHARE,
  PREFILL_BUDGET_TOKENS,
  PREFILL_TOKENS_PER_MS,
  SHORT_PROMPT_RESERVE,
  PREFILL_TIMEOUT_MS,
} from './constants.ts';
import type { EngineResidency, Reservation } from './types.ts';

/** Returns the expected prefill time of a prompt at `rate` tokens per ms, in ms. */
export function getPrefillMs(promptTokens: number, rate = PREFILL_TOKENS_PER_MS): number {
  return (
    promptTokens / rate +
    (promptTokens ** 2 / 1e6) * ATTENTION_MS_PER_MILLION_PAIRS * (PREFILL_TOKENS_PER_MS / rate)
  );
}

/** Returns the expected time until an engine has processed its pending prompts, in ms. */
export function getPrefillBacklogMs({ pendingPrefillTokens, speed }: EngineResidency): number {
  return pendingPrefillTokens / speed.rate;
}

/**
 * Whether an engine may be sent another prompt. It reads pending prompts between two events of all its
 * streams, so the time to read them bounds the pauses of the streams. Beside a long prompt, short ones have a
 * reserve, so that they need not wait until it has been read.
 */
export function canSendPrompt(owned: EngineResidency, promptTokens: number): boolean {
  const { pendingPrefillTokens, longPrefillTokens } = owned;
  if (pendingPrefillTokens === 0 || pendingPrefillTokens + promptTokens <= PREFILL_BUDGET_TOKENS)
    return true;
  const pendingShortTokens = pendingPrefillTokens - longPrefillTokens;
  const fitsReserve =
    pendingShortTokens + promptTokens <= PREFILL_BUDGET_TOKENS * SHORT_PROMPT_RESERVE;
  return longPrefillTokens > 0 && fitsReserve;
}

/** Whether a prompt takes so long to read that it holds up others on an engine. */
export function isLongPrompt(promptTokens: number): boolean {
  return promptTokens > PREFILL_BUDGET_TOKENS * LONG_PROMPT_SHARE;
}

/** Returns the expected prefill time of the prompts that wait in the queue of an engine, in ms. */
export function getQueuePrefillMs({ queue, speed }: EngineResidency): number {
  return queue.reduce((sum, { promptTokens }) => sum + getPrefillMs(promptTokens, speed.rate), 0);
}

/** Records that a prompt is sent to an engine. */
export function startPrefill(owned: EngineResidency, promptTokens: number): void {
  owned.pendingPrefillTokens += promptTokens;
  if (isLongPrompt(promptTokens)) owned.longPrefillTokens += promptTokens;
}

/** Records that an engine has processed the prompt of a reservation. */
export function completePrefill(owned: EngineResidency, reservation: Reservation): void {
  if (!reservation.isPrefilling) return;
  reservation.isPrefilling = false;
  const { promptTokens } = reservation;
  owned.pendingPrefillTokens -= promptTokens;
  if (isLongPrompt(promptTokens)) owned.longPrefillTokens -= promptTokens;
}

/** Completes the prefill of reservations without a first event after `PREFILL_TIMEOUT_MS`. */
export function expirePrefills(owned: EngineResidency, now: number): void {
  for (const reservation of owned.reservations.values()) {
    if (reservation.grantedAt + PREFILL_TIMEOUT_MS <= now) completePrefill(owned, reservation);
  }
}
