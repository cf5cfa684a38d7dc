import { Random } from '../../src/base/random.ts';
import { ADAPTERS_PER_DEPLOYMENT, RUN_MS } from './constants.ts';
import type { SimulatedRequest, Scenario, RequestStream } from './types.ts';

/** Time limits and mean sizes by request kind. Drafts get the longest time limit (design 7). */
const SHAPES = {
  urgent: { limitMs: 10_000, outputTokens: 32, promptTokens: 256 },
  ordinary: { limitMs: 60_000, outputTokens: 128, promptTokens: 768 },
  draft: { limitMs: 120_000, outputTokens: 224, promptTokens: 1536 },
} as const;

/** Returns the adapter names of a firm. */
export function getFirmAdapters(scenario: Scenario, firm: string): string[] {
  const share = scenario.deployment.shares[firm] ?? 0;
  const count = Math.round(ADAPTERS_PER_DEPLOYMENT * share);
  return Array.from({ length: count }, (_, index) => `${firm}-${index}`);
}

/** Creates the requests of `scenario`, ordered by arrival; the same seed gives the same requests. */
export function newWorkload(scenario: Scenario, zipf: number, seed: number): SimulatedRequest[] {
  const random = Random.create(seed);
  const rankingsByFirm = new Map(
    Object.keys(scenario.deployment.shares).map((firm) => [
      firm,
      newRankings(getFirmAdapters(scenario, firm), scenario, random),
    ]),
  );
  const unordered = scenario.streams.flatMap((stream) => {
    const rankings = rankingsByFirm.get(stream.firm) ?? [];
    const sampler = newZipfSampler(rankings[0]?.adapters.length ?? 1, zipf);
    return newArrivalTimes(stream, random).map((at) => {
      const current = rankings.findLast((ranking) => ranking.from <= at);
      return newRequest(stream, current?.adapters[sampler(random)] ?? '', at, scenario, random);
    });
  });
  return unordered
    .sort((a, b) => a.arrivesAt - b.arrivesAt)
    .map((request, index) => ({ ...request, id: `r${index}` }));
}

/** Adapters of a firm in the order of their popularity, valid from `from` until the next ranking. */
interface PopularityRanking {
  from: number;
  adapters: string[];
}

/** Draws a random ranking; each shift permutes a random fraction of its ranks. */
function newRankings(adapters: string[], scenario: Scenario, random: Random): PopularityRanking[] {
  let current = shuffle(adapters, random);
  const rankings = [{ from: 0, adapters: current }];
  for (const { at, fraction } of scenario.shifts) {
    const moved = current.map((_, rank) => rank).filter(() => random.getFraction() < fraction);
    const targets = shuffle(moved, random);
    const next = [...current];
    moved.forEach((rank, index) => {
      next[targets[index] ?? rank] = current[rank] ?? '';
    });
    current = next;
    rankings.push({ from: at, adapters: current });
  }
  return rankings;
}

function shuffle<T>(items: readonly T[], random: Random): T[] {
  return items
    .map((item) => ({ item, key: random.getFraction() }))
    .sort((a, b) => a.key - b.key)
    .map(({ item }) => item);
}

/** Draws Poisson arrivals, with the rate held constant for each step of 1 s. */
function newArrivalTimes(stream: RequestStream, random: Random): number[] {
  const times: number[] = [];
  const stepMs = 1_000;
  for (let from = 0; from < RUN_MS; from += stepMs) {
    const rate = stream.ratePerS(from);
    if (rate <= 0) continue;
    for (let at = newGapMs(rate, random); at < stepMs; at += newGapMs(rate, random)) {
      times.push(from + at);
    }
  }
  return times;
}

function newGapMs(ratePerS: number, random: Random): number {
  return (-Math.log(1 - random.getFraction()) / ratePerS) * 1000;
}

function newZipfSampler(size: number, exponent: number): (random: Random) => number {
  const cumulative: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= size; rank++) {
    sum += rank ** -exponent;
    cumulative.push(sum);
  }
  return (random) => {
    const wanted = random.getFraction() * sum;
    let low = 0;
    let high = size - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((cumulative[middle] ?? sum) > wanted) high = middle;
      else low = middle + 1;
    }
    return low;
  };
}

function newRequest(
  stream: RequestStream,
  adapter: string,
  at: number,
  scenario: Scenario,
  random: Random,
): SimulatedRequest {
  const shape = SHAPES[stream.kind];
  const spread = () => 0.5 + random.getFraction();
  return {
    id: '',
    firm: stream.firm,
    kind: stream.kind,
    model: `${adapter}@v1`,
    arrivesAt: at,
    deadlineAt: at + shape.limitMs,
    outputTokens: Math.round(shape.outputTokens * spread()),
    promptTokens: Math.round(shape.promptTokens * spread()),
    host: random.getInteger(scenario.deployment.hosts.length),
    startedAt: undefined,
    endedAt: undefined,
    isFailed: false,
    stallMs: 0,
    batchSlotMs: 0,
  };
}
