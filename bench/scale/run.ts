import { measureScale, type ScaleResult } from './measure.ts';
import { SIZES } from './sizes.ts';

/** Runs the scale bench and prints its results; returns the exit code. */
export function runScale({ json }: { json: boolean }): number {
  const results = SIZES.map(measureScale);
  if (json) {
    console.log(JSON.stringify({ results, decisionGrowth: getDecisionGrowth(results) }));
    return 0;
  }
  for (const { factor, engines, hosts, adapters, heapMb, ...times } of results) {
    console.log(`\n${factor}x: ${engines} engines, ${hosts} hosts, ${adapters} adapters`);
    for (const [name, us] of Object.entries(times)) {
      console.log(`  ${name.padEnd(20)} ${us.toFixed(1)}`);
    }
    console.log(`  ${'heapMb'.padEnd(20)} ${heapMb.toFixed(1)}`);
  }
  console.log(
    `\ndecision: ${getDecisionGrowth(results).toFixed(2)} times the growth of log(engines)`,
  );
  return 0;
}

/** Returns the growth of the mean decision time from the smallest to the largest size, relative to log(engines). */
function getDecisionGrowth(results: ScaleResult[]): number {
  const [first, last] = [results[0], results.at(-1)];
  if (first === undefined || last === undefined) return NaN;
  const getUs = (result: ScaleResult) => result.decisionResidentUs + result.decisionColdUs;
  const growth = getUs(last) / getUs(first);
  return growth / (Math.log(last.engines) / Math.log(first.engines));
}
