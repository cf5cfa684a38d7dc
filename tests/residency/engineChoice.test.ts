import { describe, expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { PREFILL_TOKENS_PER_MS } from '../../src/residency/constants.ts';
import { chooseOwnedEngine, type EngineOption } from '../../src/residency/engineChoice.ts';

const GOAL_MS = 1_000;

function newOption(engine: string, change: Partial<EngineOption> = {}): EngineOption {
  return {
    engine,
    backlogMs: 0,
    readMs: 20,
    hasRoom: true,
    hasLongPrompt: false,
    running: 0,
    loadMs: 0,
    openSlots: 1,
    ...change,
  };
}

// Guards against requests that wait at the engine that was best a second ago.
describe('an owner places a request', () => {
  it.each<[string, Partial<EngineOption>, Partial<EngineOption>, boolean, string]>([
    ['where its host asked, of equals', {}, {}, false, 'e0'],
    ['at a shorter queue', { backlogMs: 200 }, {}, false, 'e1'],
    ['where there is room', { hasRoom: false }, { backlogMs: 100 }, false, 'e1'],
    [
      'where its adapter is, before an idle engine',
      { backlogMs: 200 },
      { loadMs: undefined },
      false,
      'e0',
    ],
    ['at an engine that loads its adapter', { loadMs: undefined }, { loadMs: 100 }, false, 'e1'],
    ['at a free slot', { loadMs: undefined, openSlots: 0 }, { loadMs: undefined }, false, 'e1'],
    ['at the faster engine', { readMs: 300 }, { readMs: 80 }, false, 'e1'],
    [
      'away from a long prompt, if it is short',
      { backlogMs: 280, hasLongPrompt: true },
      {},
      false,
      'e1',
    ],
    [
      'beside a long prompt, if it is long',
      {},
      { backlogMs: 280, hasLongPrompt: true },
      true,
      'e1',
    ],
    [
      'away from many long prompts, if it is long',
      {},
      { backlogMs: 600, hasLongPrompt: true },
      true,
      'e0',
    ],
  ])('%s', (_name, asked, other, isLong, expected) => {
    const options = [newOption('e0', asked), newOption('e1', other)];
    expect(chooseOwnedEngine(options, { engine: 'e0', isLong, goalMs: GOAL_MS })).toBe(expected);
  });
});

/** A request of a load, in monotonic ms and tokens. */
interface Arrival {
  at: number;
  tokens: number;
  asked: number;
}

const ENGINES = 6;
const SHORT_TOKENS = 450;
const LONG_TOKENS = 6_870;

/** Returns random arrivals that ask for `tokensPerMs` in total, of which a share of the requests is long. */
function newArrivals(
  getLongShare: (at: number) => number,
  tokensPerMs: number,
  seed: number,
): Arrival[] {
  const random = Random.create(seed);
  const arrivals: Arrival[] = [];
  for (let at = 0; at < 120_000;) {
    const longShare = getLongShare(at);
    const meanTokens = longShare * LONG_TOKENS + (1 - longShare) * SHORT_TOKENS;
    at += (-Math.log(1 - random.getFraction()) * meanTokens) / tokensPerMs;
    const isLong = random.getFraction() < longShare;
    const asked = random.getInteger(ENGINES);
    arrivals.push({ at, tokens: isLong ? LONG_TOKENS : SHORT_TOKENS, asked });
  }
  return arrivals;
}

/** Plays arrivals on engines that read prompts one after another; returns the times to their ends in ms. */
function play(
  arrivals: readonly Arrival[],
  choose: (options: EngineOption[], arrival: Arrival) => string,
): { tokens: number; ms: number }[] {
  const freeAt = new Array<number>(ENGINES).fill(0);
  const longUntil = new Array<number>(ENGINES).fill(0);
  return arrivals.map((arrival) => {
    const { at, tokens } = arrival;
    const readMs = tokens / PREFILL_TOKENS_PER_MS;
    const options = freeAt.map((free, index) =>
      newOption(`e${index}`, {
        backlogMs: Math.max(0, free - at),
        readMs,
        hasLongPrompt: (longUntil[index] ?? 0) > at,
      }),
    );
    const index = options.findIndex(({ engine }) => engine === choose(options, arrival));
    const endsAt = Math.max(at, freeAt[index] ?? 0) + readMs;
    freeAt[index] = endsAt;
    if (tokens === LONG_TOKENS) longUntil[index] = endsAt;
    return { tokens, ms: endsAt - at };
  });
}

function chooseByOwner(options: EngineOption[], { tokens, asked }: Arrival): string {
  const isLong = tokens === LONG_TOKENS;
  return chooseOwnedEngine(options, { engine: `e${asked}`, isLong, goalMs: GOAL_MS });
}

function getPercentile(values: number[], share: number): number {
  return values.sort((a, b) => a - b)[Math.floor(values.length * share)] ?? Infinity;
}

/** Shares of long prompts by time; in the second one they come and go within 3 s. */
const MIXES: [string, (at: number) => number][] = [
  ['a tenth is long', () => 0.1],
  ['none or a fifth is long, by turns of 3 s', (at) => (at % 6_000 < 3_000 ? 0 : 0.2)],
];
const CASES = MIXES.flatMap(([name, getLongShare]) =>
  [1, 2, 3].map((seed) => ({ name, getLongShare, seed })),
);

// Guards against short prompts that wait for long ones while other engines are idle.
describe.each(CASES)(
  'six engines, of whose prompts $name (seed $seed)',
  ({ getLongShare, seed }) => {
    const tokensPerMs = 0.25 * ENGINES * PREFILL_TOKENS_PER_MS;
    const mixed = newArrivals(getLongShare, tokensPerMs, seed);
    const played = play(mixed, chooseByOwner);
    const getTimes = (tokens: number): number[] =>
      played.filter((result) => result.tokens === tokens).map(({ ms }) => ms);

    it('serve short prompts as fast as without long ones, at the same load of tokens', () => {
      const alone = play(
        newArrivals(() => 0, tokensPerMs, seed),
        chooseByOwner,
      ).map(({ ms }) => ms);
      expect(getPercentile(getTimes(SHORT_TOKENS), 0.99)).toBeLessThanOrEqual(
        1.3 * getPercentile(alone, 0.99),
      );
    });

    it('serve long prompts on time', () => {
      const onTime = getTimes(LONG_TOKENS).filter((ms) => ms <= GOAL_MS);
      const byAsked = play(mixed, (_options, { asked }) => `e${asked}`).filter(
        ({ tokens, ms }) => tokens === LONG_TOKENS && ms <= GOAL_MS,
      );
      expect(onTime.length).toBeGreaterThanOrEqual(0.98 * byAsked.length);
    });
  },
);
