import { compare, type Comparison, HELD_OUT_SEEDS, TUNING_SEEDS } from './compare.ts';
import { writeReport } from './report.ts';
import { getScenario, type ScenarioName, SCENARIOS } from './scenarios.ts';
import { getSpread, summarize, type Summary } from './summary.ts';

/** Command-line options of the policy bench. */
export interface PolicyOptions {
  scenario: string | undefined;
  seed: number | undefined;
  heldOut: boolean;
  slots: number;
  zipf: number | undefined;
  stallWeight: number | undefined;
  json: boolean;
  /** HTML file to which the charts are written. */
  report: string | undefined;
}

/** Runs the policy bench and prints its results; returns the exit code. */
export function runPolicy(options: PolicyOptions): number {
  const names = getScenarioNames(options.scenario);
  if (names === undefined) {
    console.error(
      `scenario "${options.scenario}" does not exist; expected one of ${Object.keys(SCENARIOS).join(', ')}`,
    );
    return 2;
  }
  const summaries: Summary[] = [];
  for (const name of names) {
    const comparisons = getSeeds(options).map((seed) =>
      compare(getScenario(name), {
        seed,
        slots: options.slots,
        zipf: options.zipf,
        stallWeight: options.stallWeight,
      }),
    );
    const summary = summarize(comparisons);
    summaries.push(summary);
    if (options.json) console.log(JSON.stringify({ ...summary, runs: comparisons }));
    else printSummary(summary, comparisons);
  }
  if (options.report !== undefined) writeReport(options.report, summaries, options.zipf);
  return 0;
}

function getScenarioNames(name: string | undefined): ScenarioName[] | undefined {
  const all = Object.keys(SCENARIOS) as ScenarioName[];
  if (name === undefined) return all;
  const found = all.find((known) => known === name);
  return found === undefined ? undefined : [found];
}

function getSeeds({ seed, heldOut }: PolicyOptions): number[] {
  if (seed !== undefined) return [seed];
  return heldOut ? HELD_OUT_SEEDS : TUNING_SEEDS;
}

function printSummary({ scenario, slots, seeds, ratios }: Summary, runs: Comparison[]): void {
  console.log(`\n${scenario}, ${slots} slots, seeds ${seeds.join(' ')}`);
  for (const [name, [median, least, most]] of Object.entries(ratios)) {
    const figures = [median, least, most].map((value) => value.toFixed(2));
    console.log(
      `  ${name.padEnd(24)} ${figures[0] ?? ''} (${figures[1] ?? ''}-${figures[2] ?? ''})`,
    );
  }
  for (const system of Object.keys(runs[0]?.results ?? {})) {
    const get = (value: (run: Comparison) => number | undefined) =>
      getSpread(runs.map((run) => value(run) ?? NaN))[0];
    console.log(
      [
        `    ${system.padEnd(18)}`,
        `stall urgent ${get((run) => run.results[system]?.stallMs.urgent).toFixed(0)} ms`,
        `ordinary ${get((run) => run.results[system]?.stallMs.ordinary).toFixed(0)}`,
        `draft ${get((run) => run.results[system]?.stallMs.draft).toFixed(0)}`,
        `efficiency ${get((run) => run.results[system]?.efficiency.all).toFixed(3)}`,
        `completed ${get((run) => run.results[system]?.completed)}`,
        `failed ${get((run) => run.results[system]?.failed)}`,
        `open ${get((run) => run.results[system]?.open)}`,
        `loads ${get((run) => run.results[system]?.loads)}`,
        `evicted in use ${get((run) => run.results[system]?.evictedInUse)}`,
      ].join('  '),
    );
  }
}
