import { describe, expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { EXPECTED_FIRST_EVENT_MS, PREFILL_TOKENS_PER_MS } from '../../src/residency/constants.ts';
import { chooseOwnedEngine, type EngineOption } from '../../src/residency/engineChoice.ts';
import { EngineSpeed } from '../../src/residency/engineSpeed.ts';
import { getRemainingBacklogMs } from '../../src/residency/prefill.ts';

/** Speeds relative to the class of the engines; the second one becomes four times slower. */
const SPEEDS = [0.7, 1, 1.7];
const SLOWED_SPEEDS = [0.7, 0.25, 1.7];
const SLOWED_AT_MS = 30_000;
const END_MS = 90_000;
/** Time after a change of speed for which shares are not compared. */
const LEARNING_MS = 2_000;
const LOAD_SHARE = 0.7;
const GOAL_MS = 1_000;

interface Arrival {
  at: number;
  tokens: number;
  asked: number;
}

/** An engine that reads prompts one after another. */
interface PlayedEngine {
  speed: EngineSpeed;
  freeAt: number;
  /** Prompts whose first event has not arrived, in order. */
  pending: { tokens: number; grantedAt: number; startsAt: number }[];
  /** Monotonic ms of the last first event. */
  startedAt: number;
}

type Backlog = (engine: PlayedEngine, at: number) => number;

function getSpeeds(at: number): number[] {
  return at < SLOWED_AT_MS ? SPEEDS : SLOWED_SPEEDS;
}

/** Returns arrivals that ask for `LOAD_SHARE` of what the slowed engines can read. */
function newArrivals(seed: number): Arrival[] {
  const random = Random.create(seed);
  const total = SLOWED_SPEEDS.reduce((sum, speed) => sum + speed, 0);
  const tokensPerMs = LOAD_SHARE * total * PREFILL_TOKENS_PER_MS;
  const arrivals: Arrival[] = [];
  for (let at = 0; at < END_MS;) {
    const tokens = 300 + Math.floor(random.getFraction() * 3_000);
    at += (-Math.log(1 - random.getFraction()) * 1_800) / tokensPerMs;
    arrivals.push({ at, tokens, asked: random.getInteger(SPEEDS.length) });
  }
  return arrivals;
}

/** Plays a load with a way to tell the backlog and the rate of engines; returns the share of tokens of each. */
function play(
  arrivals: readonly Arrival[],
  getBacklogMs: Backlog,
  getRate: (engine: PlayedEngine, index: number, at: number) => number,
  isCounted: (at: number) => boolean,
): number[] {
  const engines = SPEEDS.map((): PlayedEngine => ({
    speed: EngineSpeed.create(),
    freeAt: 0,
    pending: [],
    startedAt: -Infinity,
  }));
  const shares = SPEEDS.map(() => 0);
  for (const { at, tokens, asked } of arrivals) {
    for (const engine of engines) deliverStarts(engine, at);
    const options = engines.map((engine, index): EngineOption => {
      const readMs = tokens / getRate(engine, index, at);
      const backlogMs = getBacklogMs(engine, at);
      const rest = { hasRoom: true, hasLongPrompt: false, running: 0, loadMs: 0, openSlots: 1 };
      return { engine: String(index), backlogMs, readMs, ...rest };
    });
    const prompt = { engine: String(asked), isLong: false, goalMs: GOAL_MS };
    const chosen = Number(chooseOwnedEngine(options, prompt));
    const engine = engines[chosen];
    if (engine === undefined) throw new Error(`no engine ${chosen}`);
    const readMs = tokens / ((getSpeeds(at)[chosen] ?? 1) * PREFILL_TOKENS_PER_MS);
    engine.freeAt = Math.max(at, engine.freeAt) + readMs;
    const startsAt = engine.freeAt + EXPECTED_FIRST_EVENT_MS;
    engine.pending.push({ tokens, grantedAt: at, startsAt });
    if (isCounted(at)) shares[chosen] = (shares[chosen] ?? 0) + tokens;
  }
  const total = shares.reduce((sum, tokens) => sum + tokens, 0);
  return shares.map((tokens) => tokens / total);
}

function deliverStarts(engine: PlayedEngine, until: number): void {
  const { speed, pending } = engine;
  while ((pending[0]?.startsAt ?? Infinity) <= until) {
    const start = pending.shift();
    if (start === undefined) return;
    speed.recordStart(start.tokens, start.grantedAt, start.startsAt);
    engine.startedAt = start.startsAt;
  }
}

/** Returns the backlog as an owner knows it, from grants and first events. */
function getLearnedBacklogMs({ speed, pending, startedAt }: PlayedEngine, at: number): number {
  const [first] = pending;
  if (first === undefined) return 0;
  const pendingPrefillTokens = pending.reduce((sum, { tokens }) => sum + tokens, 0);
  const since = Math.max(first.grantedAt, startedAt - EXPECTED_FIRST_EVENT_MS);
  const reading = { request: '', tokens: first.tokens, since };
  return getRemainingBacklogMs({ pendingPrefillTokens, speed, reading }, at);
}

const PERIODS: [string, (at: number) => boolean][] = [
  ['at their first speeds', (at) => at >= LEARNING_MS && at < SLOWED_AT_MS],
  ['after one has become slow', (at) => at >= SLOWED_AT_MS + LEARNING_MS],
];
const CASES = PERIODS.flatMap(([name, isCounted]) =>
  [1, 2, 3].map((seed) => ({ name, isCounted, seed })),
);

// Guards against an owner that takes all engines for equally fast, and keeps requests waiting at the slow ones.
describe('engines of several speeds', () => {
  it.each(CASES)(
    'get the work that full knowledge would give them $name (seed $seed)',
    ({ isCounted, seed }) => {
      const arrivals = newArrivals(seed);
      const known = play(
        arrivals,
        ({ freeAt }, at) => Math.max(0, freeAt - at),
        (_engine, index, at) => (getSpeeds(at)[index] ?? 1) * PREFILL_TOKENS_PER_MS,
        isCounted,
      );
      const learned = play(arrivals, getLearnedBacklogMs, ({ speed }) => speed.rate, isCounted);
      for (const [index, share] of known.entries())
        expect(Math.abs((learned[index] ?? 0) - share)).toBeLessThanOrEqual(0.1);
    },
  );
});

describe('the remaining backlog of an engine', () => {
  const READ_MS = 100;
  const tokens = READ_MS * PREFILL_TOKENS_PER_MS;

  it.each<[string, number, number]>([
    ['is all of it when the engine begins to read', 0, 2 * READ_MS],
    ['shrinks while it reads', 60, 2 * READ_MS - 60],
    ['is the rest until the first event arrives', READ_MS + EXPECTED_FIRST_EVENT_MS, READ_MS],
    [
      'grows while the first event is overdue',
      READ_MS + EXPECTED_FIRST_EVENT_MS + 50,
      READ_MS + 50,
    ],
  ])('%s', (_name, at, expected) => {
    const reading = { request: 'r1', tokens, since: 0 };
    const engine = { pendingPrefillTokens: 2 * tokens, speed: EngineSpeed.create(), reading };
    expect(getRemainingBacklogMs(engine, at)).toBeCloseTo(expected);
  });
});
