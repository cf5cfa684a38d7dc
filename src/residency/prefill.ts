import {
  ATTENTION_MS_PER_MILLION_PAIRS,
  EXPECTED_FIRST_EVENT_MS,
  LONG_PROMPT_SHARE,
  PREFILL_BUDGET_TOKENS,
  PREFILL_TOKENS_PER_MS,
  SHORT_PROMPT_RESERVE,
  PREFILL_TIMEOUT_MS,
} from './constants.ts';
import type { EngineResidency, Reservation } from './types.ts';

/** What tells the backlog of an engine. */
type PrefillState = Pick<EngineResidency, 'pendingPrefillTokens' | 'speed' | 'reading'>;

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
 * Returns the expected time until an engine has processed its pending prompts, less what it has read of the first
 * one. An engine whose first event is overdue is expected to need as long again.
 */
export function getRemainingBacklogMs(
  { pendingPrefillTokens, speed, reading }: PrefillState,
  now: number,
): number {
  const backlogMs = pendingPrefillTokens / speed.rate;
  if (reading === undefined) return backlogMs;
  const expectedMs = reading.tokens / speed.rate;
  const elapsedMs = now - reading.since;
  const overdueMs = Math.max(0, elapsedMs - expectedMs - EXPECTED_FIRST_EVENT_MS);
  return Math.max(0, backlogMs - Math.min(elapsedMs, expectedMs) + overdueMs);
}

function findFirstPrefill({ reservations }: EngineResidency): Reservation | undefined {
  for (const reservation of reservations.values()) if (reservation.isPrefilling) return reservation;
  return undefined;
}

/** Records which of the pending prompts the engine reads; prompts are read in the order of their grants. */
export function updateReading(owned: EngineResidency, now: number): void {
  const first = findFirstPrefill(owned);
  if (first === undefined) {
    owned.reading = undefined;
    return;
  }
  const { request, promptTokens: tokens, grantedAt } = first;
  if (owned.reading?.request === request) return;
  // The first event of the prompt before this one followed its end after a while.
  owned.reading = { request, tokens, since: Math.max(grantedAt, now - EXPECTED_FIRST_EVENT_MS) };
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
