import { BASELINES } from './baselines.ts';
import { ClairvoyantBound } from './bound.ts';
import { SimulatedHosts } from './simulatedHosts.ts';
import type { RunResult } from './measure.ts';
import { Simulation, type Policy } from './simulation.ts';
import type { RunParameters, Scenario } from './types.ts';

/** Seeds for evaluating policy changes while tuning, and seeds that are not used for tuning. */
export const TUNING_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
export const HELD_OUT_SEEDS = [101, 102, 103, 104, 105];

const SYSTEMS: Record<string, (simulation: Simulation) => Policy> = {
  ...BASELINES,
  bound: (simulation) => ClairvoyantBound.create(simulation),
  fireflywick: (simulation) => SimulatedHosts.create(simulation),
};

/** Results of all systems on the same workload, and the ratios between them. */
export interface Comparison {
  readonly scenario: string;
  readonly seed: number;
  readonly slots: number;
  readonly results: Record<string, RunResult>;
  readonly ratios: Ratios;
}

/** Ratios of fireflywick to the references; lower stall ratios and higher efficiency ratios are better. */
export interface Ratios {
  readonly urgentStallToBaseline: number;
  readonly urgentStallToBound: number;
  readonly efficiencyToBaseline: number;
  readonly efficiencyToBound: number;
}

/** Runs `scenario` with every system. */
export function compare(scenario: Scenario, parameters: RunParameters): Comparison {
  const results = Object.fromEntries(
    Object.entries(SYSTEMS).map(([name, create]) => {
      const simulation = Simulation.create(scenario, parameters);
      return [name, simulation.run(create(simulation))];
    }),
  );
  const { seed, slots } = parameters;
  return { scenario: scenario.name, seed, slots, results, ratios: getRatios(results) };
}

function getRatios(results: Record<string, RunResult>): Ratios {
  const getStall = (name: string) => results[name]?.stallMs.urgent ?? NaN;
  const getEfficiency = (name: string) => results[name]?.efficiency.all ?? NaN;
  const baselines = Object.keys(BASELINES);
  const bestStall = Math.min(...baselines.map(getStall));
  const bestEfficiency = Math.max(...baselines.map(getEfficiency));
  return {
    urgentStallToBaseline: getStall('fireflywick') / bestStall,
    urgentStallToBound: getStall('fireflywick') / getStall('bound'),
    efficiencyToBaseline: getEfficiency('fireflywick') / bestEfficiency,
    efficiencyToBound: getEfficiency('fireflywick') / getEfficiency('bound'),
  };
}
