import type { State } from '../core/state.ts';
import { isRoutable } from '../fleet/endpointChoice.ts';
import type { EndpointView } from '../fleet/types.ts';
import { needsPermit } from '../limits/permits.ts';
import { isPaused } from '../notices/pauses.ts';
import type { EngineClass } from '../routes/types.ts';
import { USABLE_MEMORY_SHARE } from './constants.ts';
import { canServeVersion, countOpenSlots, getLoadLeftMs, getSlotLimit } from './copies.ts';
import { chooseOwnedEngine, type EngineOption } from './engineChoice.ts';
import { getPrefillMs, getQueuePrefillMs, getRemainingBacklogMs, isLongPrompt } from './prefill.ts';
import { getEngineClass, getReservedTokens, getWantedVersion } from './reservations.ts';
import type { EngineResidency, ReservationRequest } from './types.ts';

/** Returns a reservation request for the engine of this host that will serve it first, if it may be moved. */
export function moveReservation(
  state: State,
  message: ReservationRequest,
  now: number,
): ReservationRequest {
  const { engine: asked, canMove, promptTokens, goalMs } = message;
  const owned = state.residency.owned.get(asked);
  const view = state.fleet.views.get(asked);
  if (canMove !== true || owned === undefined || view === undefined) return message;
  const engineClass = getEngineClass(state, view);
  if (engineClass === undefined) return message;
  const options = [...state.residency.owned.values()].flatMap((candidate) => {
    const other = state.fleet.views.get(candidate.id);
    const isOption =
      candidate === owned || (other !== undefined && canMoveTo(state, view, other, message, now));
    return isOption ? [newOption(state, engineClass, candidate, message, now)] : [];
  });
  const isLong = isLongPrompt(promptTokens);
  const engine = chooseOwnedEngine(options, { engine: asked, isLong, goalMs });
  return engine === asked ? message : { ...message, engine };
}

/** Whether a request for one engine may run on another one. */
function canMoveTo(
  state: State,
  { endpoint }: EndpointView,
  other: EndpointView,
  { adapter, excluded }: ReservationRequest,
  now: number,
): boolean {
  const owned = state.residency.owned.get(other.endpoint.id);
  const model = adapter.split('/')[0] ?? '';
  return (
    other.endpoint.service === endpoint.service &&
    other.endpoint.softwareVersion === endpoint.softwareVersion &&
    isRoutable(other) &&
    !isPaused(other, now) &&
    !needsPermit(other) &&
    excluded?.includes(other.endpoint.id) !== true &&
    owned !== undefined &&
    !owned.isFenced &&
    owned.ordersAllowedAt <= now &&
    (model === '' ? owned.models.size > 0 : owned.models.has(model))
  );
}

function newOption(
  state: State,
  engineClass: EngineClass,
  owned: EngineResidency,
  message: ReservationRequest,
  now: number,
): EngineOption {
  const tokens = owned.reservedTokens + getReservedTokens(message);
  const hasRoom =
    owned.reservations.size < engineClass.batch &&
    tokens <= engineClass.memoryTokens * USABLE_MEMORY_SHARE;
  return {
    engine: owned.id,
    backlogMs: getRemainingBacklogMs(owned, now) + getQueuePrefillMs(owned),
    readMs: getPrefillMs(message.promptTokens, owned.speed.rate),
    hasRoom,
    hasLongPrompt: owned.longPrefillTokens > 0,
    running: owned.reservations.size,
    loadMs: getLoadMs(state, owned, message, now),
    openSlots: countOpenSlots(owned, getSlotLimit(engineClass, owned.models)),
  };
}

/** Returns the expected time until the adapter of a request is resident; undefined if it is not coming. */
function getLoadMs(
  state: State,
  { copies }: EngineResidency,
  message: ReservationRequest,
  now: number,
): number | undefined {
  if (message.adapter === '') return 0;
  const copy = copies.get(message.adapter);
  const isOutdated =
    copy?.phase === 'resident' && !canServeVersion(copy, getWantedVersion(state, message));
  return isOutdated ? undefined : getLoadLeftMs(copy, now);
}
