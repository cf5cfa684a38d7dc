import {
  ABSENT_ADAPTER_COST_MS,
  EXPECTED_LOAD_MS,
  GATHERING_SLACK_SHARE,
  MIN_SAVING_MS,
  RUNNING_REQUEST_START_MS,
} from './constants.ts';

/** What an owner knows of one of its engines when it places a request; times in ms. */
export interface EngineOption {
  engine: string;
  /** Expected time until the engine has read the prompts before this one, and to read it. */
  backlogMs: number;
  readMs: number;
  /** Whether the engine can take the request now. */
  hasRoom: boolean;
  /** Whether one of the prompts before this one is long. */
  hasLongPrompt: boolean;
  running: number;
  /** Expected time until the adapter is resident; undefined if no load of it has begun. */
  loadMs: number | undefined;
  /** Slots for adapters that are free, or soon will be. */
  openSlots: number;
}

/** A request that an owner places. */
export interface PlacedPrompt {
  /** Engine that its host chose by what was announced. */
  engine: string;
  isLong: boolean;
  /** Time until its first event is late. */
  goalMs: number;
}

/**
 * Chooses the engine of an owner at which a request is expected to begin first. Hosts choose by announcements
 * that are up to a second old; the owner knows its engines as they are. Long prompts gather where one is read
 * already, as long as they still meet their goal, so that short ones find engines without them.
 */
export function chooseOwnedEngine(options: readonly EngineOption[], prompt: PlacedPrompt): string {
  const asked = options.find(({ engine }) => engine === prompt.engine);
  if (asked === undefined) return prompt.engine;
  const costs = new Map(options.map((option) => [option, getCostMs(option, prompt)]));
  const getCost = (option: EngineOption): number => costs.get(option) ?? Infinity;
  const cheapest = options.reduce((a, b) => (getCost(b) < getCost(a) ? b : a));
  if (prompt.isLong) {
    const latest = Math.max(getCost(cheapest), prompt.goalMs * GATHERING_SLACK_SHARE);
    const gathering = options.filter((option) => option.hasLongPrompt && getCost(option) <= latest);
    const [first] = gathering.sort((a, b) => getCost(a) - getCost(b));
    if (first !== undefined) return first.engine;
  }
  return getCost(asked) - getCost(cheapest) < MIN_SAVING_MS ? asked.engine : cheapest.engine;
}

/** Returns the expected time until the first event of a request at an engine, in ms. */
function getCostMs(
  { engine, backlogMs, readMs, hasRoom, running, loadMs, openSlots }: EngineOption,
  prompt: PlacedPrompt,
): number {
  const startMs = backlogMs + readMs + running * RUNNING_REQUEST_START_MS;
  // Without room, a request waits for another one to end, for a time that is not known.
  const roomMs = hasRoom ? 0 : prompt.goalMs;
  if (loadMs !== undefined) return Math.max(startMs, loadMs + readMs) + roomMs;
  const isAsked = engine === prompt.engine;
  const slotMs = openSlots > 0 ? 0 : prompt.goalMs;
  // The engine that the host chose is the one that most likely held the adapter before.
  return startMs + EXPECTED_LOAD_MS + slotMs + roomMs + (isAsked ? 0 : ABSENT_ADAPTER_COST_MS);
}
