import { writeFileSync } from 'node:fs';
import { drawRatios, drawStallWeight, type StallWeightPoint } from '../report/charts.ts';
import { getPage } from '../report/page.ts';
import { SimulatedHosts } from './simulatedHosts.ts';
import { getScenario, type ScenarioName } from './scenarios.ts';
import { Simulation } from './simulation.ts';
import { getSpread, type Summary } from './summary.ts';

const STALL_WEIGHTS = [0, 0.2, 0.4, 0.6, 0.8, 1];
const CURVE_SCENARIOS: readonly ScenarioName[] = ['atlas-day', 'corail-peak'];

const CHARTS: Record<string, string> = {
  urgentStallToBaseline: 'Urgent load stall, ratio to the best baseline (below 1 is better)',
  urgentStallToBound: 'Urgent load stall, ratio to the clairvoyant bound',
  efficiencyToBaseline: 'Batch efficiency, ratio to the best baseline (above 1 is better)',
  efficiencyToBound: 'Batch efficiency, ratio to the clairvoyant bound',
};

/** Writes one HTML file with the ratios of the scenarios and the curves over the stall weight. */
export function writeReport(file: string, summaries: Summary[], zipf: number | undefined): void {
  const [first] = summaries;
  const seeds = first?.seeds ?? [];
  const slots = first?.slots ?? 0;
  const ratios = Object.entries(CHARTS).map(([key, title]) => drawRatios(title, summaries, key));
  const curves = CURVE_SCENARIOS.map((name) =>
    drawStallWeight(
      `Stall weight, ${name}`,
      STALL_WEIGHTS.map((stallWeight) => getPoint(name, { stallWeight, slots, zipf, seeds })),
    ),
  );
  const note = `${slots} slots; seeds ${seeds.join(', ')}; bars are medians, labels least and greatest.`;
  writeFileSync(file, getPage('fireflywick: decisions under load', note, [...ratios, ...curves]));
}

function getPoint(
  name: ScenarioName,
  options: { stallWeight: number; slots: number; zipf: number | undefined; seeds: number[] },
): StallWeightPoint {
  const { seeds, ...parameters } = options;
  const results = seeds.map((seed) => {
    const simulation = Simulation.create(getScenario(name), { ...parameters, seed });
    return simulation.run(SimulatedHosts.create(simulation));
  });
  return {
    stallWeight: options.stallWeight,
    urgentStallMs: getSpread(results.map(({ stallMs }) => stallMs.urgent ?? NaN))[0],
    efficiency: getSpread(results.map(({ efficiency }) => efficiency.all ?? NaN))[0],
  };
}
