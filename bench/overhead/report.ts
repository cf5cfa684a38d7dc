import { type OverheadResult, runOverhead } from './run.ts';

/** Runs the overhead bench; prints a table, or with `json` one JSON line per load. */
export async function runOverheadBench({
  rounds,
  json,
}: {
  rounds: number;
  json: boolean;
}): Promise<number> {
  if (!Number.isInteger(rounds) || rounds < 1) {
    console.error(`--rounds must be an integer of at least 1, got ${rounds}`);
    return 2;
  }
  const results = await runOverhead({ rounds });
  if (json) for (const result of results) console.log(JSON.stringify(result));
  else console.table(Object.fromEntries(results.map((result) => [result.load, getRow(result)])));
  return 0;
}

function getRow({ cpuRatio, forwarder, entry, firstByteAddedP95Ms }: OverheadResult) {
  return {
    'CPU ratio (median)': cpuRatio.median.toFixed(2),
    range: `${cpuRatio.least.toFixed(2)} to ${cpuRatio.most.toFixed(2)}`,
    'forwarder CPU ms': forwarder.cpuMsPerRequest.toFixed(3),
    'entry CPU ms': entry.cpuMsPerRequest.toFixed(3),
    'p50 ms': `${forwarder.p50.toFixed(1)} / ${entry.p50.toFixed(1)}`,
    'p99 ms': `${forwarder.p99.toFixed(1)} / ${entry.p99.toFixed(1)}`,
    'first byte +p95 ms': firstByteAddedP95Ms.toFixed(1),
    'requests/s': (entry.requests / entry.seconds).toFixed(0),
    'chunks/s': (entry.chunks / entry.seconds).toFixed(0),
  };
}
