import { existsSync } from 'node:fs';
import { sha256 } from '../../src/base/hash.ts';
import { TableClient } from '../../src/clients/tableClient.ts';
import { HEAD_KEY } from '../../src/configuration/constants.ts';
import { getRevisionKey } from '../../src/configuration/keys.ts';
import type { Change, Revision } from '../../src/configuration/types.ts';
import { type RoundResult, type RoundOptions, runRound, type Target } from './load.ts';
import { MeasuredProcess } from './processes.ts';

const CALLER_KEY = 'bench-caller';
const BUNDLE = 'dist/fireflywick.cjs';
const TSX = ['--import', 'tsx'];
const WARM_UP_REQUESTS = 1_000;

const LOADS: Record<string, RoundOptions> = {
  whole: { requests: 12_000, concurrency: 32, isStream: false, maxTokens: 1 },
  stream: { requests: 1_200, concurrency: 32, isStream: true, maxTokens: 64 },
};

/** Result of one round with the CPU time of the measured process. */
interface Sample extends RoundResult {
  cpuMsPerRequest: number;
}

interface MeasuredSystem {
  name: 'forwarder' | 'entry';
  process: MeasuredProcess;
  target: Target;
}

/** Comparison of entry host and forwarder under one load. */
export interface OverheadResult {
  load: string;
  rounds: number;
  /** Median of each field over the rounds. */
  forwarder: Sample;
  entry: Sample;
  /** CPU time of the entry host divided by that of the forwarder: median and range over the rounds. */
  cpuRatio: { median: number; least: number; most: number };
  firstByteAddedP95Ms: number;
}

/** Measures the entry host and the bare forwarder in alternating rounds of one run. */
export async function runOverhead({ rounds }: { rounds: number }): Promise<OverheadResult[]> {
  if (!existsSync(BUNDLE)) throw new Error(`${BUNDLE} does not exist; run "npm run build" first`);
  const processes: MeasuredProcess[] = [];
  const start = async (args: string[], env?: Record<string, string>) => {
    const process = await MeasuredProcess.create(args, env);
    processes.push(process);
    return process;
  };
  try {
    const subjects = await startMeasuredSystems(start);
    const results: OverheadResult[] = [];
    for (const [load, options] of Object.entries(LOADS)) {
      results.push(await compare(load, subjects, options, rounds));
    }
    return results;
  } finally {
    await Promise.all(processes.map((process) => process.stop()));
  }
}

async function startMeasuredSystems(
  start: (args: string[], env?: Record<string, string>) => Promise<MeasuredProcess>,
): Promise<MeasuredSystem[]> {
  const startStandIn = async (...args: string[]) => {
    const process = await start([...TSX, 'stand-ins/main.ts', ...args]);
    return String(process.readyLine.address);
  };
  const engineArgs = ['--slots', '4', '--max-batch', '256', '--step-ms', '1'];
  const engine = await startStandIn('engine', '--id', 'engine-1', ...engineArgs);
  const table = await startStandIn('table');
  const objects = await startStandIn('objects');
  const hosts = await startStandIn('hosts');
  const weights = await startStandIn('weights', '--loads-per-s', '100');
  await writeConfiguration(table, engine, weights);
  const forwarder = await start([...TSX, 'bench/overhead/forwarder.ts', engine]);
  const entry = await start([BUNDLE, 'entry'], getEntryEnvironment({ table, objects, hosts }));
  const authorization = `Bearer ${CALLER_KEY}`;
  const forwarderTarget = { address: String(forwarder.readyLine.address), authorization };
  const entryTarget = { address: `127.0.0.1:${String(entry.readyLine.callerPort)}`, authorization };
  await waitUntilServed(entryTarget);
  return [
    { name: 'forwarder', process: forwarder, target: forwarderTarget },
    { name: 'entry', process: entry, target: entryTarget },
  ];
}

async function compare(
  load: string,
  subjects: MeasuredSystem[],
  options: RoundOptions,
  rounds: number,
): Promise<OverheadResult> {
  const samples: Record<MeasuredSystem['name'], Sample[]> = { forwarder: [], entry: [] };
  for (const { target } of subjects) {
    await runRound(target, { ...options, requests: Math.min(WARM_UP_REQUESTS, options.requests) });
  }
  for (let round = 0; round < rounds; round++) {
    for (const { name, process, target } of subjects) {
      const before = process.getCpuMs();
      const result = await runRound(target, options);
      const cpuMsPerRequest = (process.getCpuMs() - before) / options.requests;
      samples[name].push({ ...result, cpuMsPerRequest });
    }
  }
  const ratios = samples.entry
    .map(({ cpuMsPerRequest }, i) => cpuMsPerRequest / (samples.forwarder[i]?.cpuMsPerRequest ?? 1))
    .sort((a, b) => a - b);
  const forwarder = getMedianSample(samples.forwarder);
  const entry = getMedianSample(samples.entry);
  return {
    load,
    rounds,
    forwarder,
    entry,
    cpuRatio: { median: getMedian(ratios), least: ratios[0] ?? 0, most: ratios.at(-1) ?? 0 },
    firstByteAddedP95Ms: entry.firstByteP95 - forwarder.firstByteP95,
  };
}

function getMedian(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function getMedianSample(samples: Sample[]): Sample {
  const fields = Object.keys(samples[0] ?? {}) as (keyof Sample)[];
  const medians = fields.map((field) => [field, getMedian(samples.map((s) => s[field]))]);
  return Object.fromEntries(medians) as Sample;
}

async function writeConfiguration(table: string, engine: string, weights: string): Promise<void> {
  const changes: Change[] = [
    {
      type: 'putEngine',
      engine: {
        id: 'engine-1',
        address: engine,
        zone: 'local',
        pool: 'bench',
        model: 'base',
        slots: 4,
        batch: 256,
        checksFencing: true,
      },
    },
    {
      type: 'putAdapter',
      adapter: {
        name: 'order-status',
        firm: 'bench',
        model: 'base',
        versions: { v1: { source: `http://${weights}/weights/order-status@v1` } },
        inForce: 'v1',
      },
    },
  ];
  const revision: Revision = {
    revision: 1,
    changes,
    operator: 'bench',
    confirmedAtUnixMs: 0,
    plan: 'bench',
  };
  const condition = { type: 'absent' } as const;
  const client = TableClient.create({ address: table });
  await client.call({
    type: 'write',
    writes: [
      { type: 'put', key: getRevisionKey(1), value: revision, condition },
      { type: 'put', key: HEAD_KEY, value: { revision: 1 }, condition },
    ],
  });
  await client.close();
}

function getEntryEnvironment(urls: Record<'table' | 'objects' | 'hosts', string>) {
  const keys = [{ name: 'bench', firm: 'bench', role: 'caller', sha256: sha256(CALLER_KEY) }];
  return {
    FIREFLYWICK_HOST_ID: 'bench-1',
    FIREFLYWICK_ZONE: 'local',
    FIREFLYWICK_REGION: 'local',
    FIREFLYWICK_CALLER_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_OPERATOR_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_PEER_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_PEER_ADDRESS: '127.0.0.1:1',
    FIREFLYWICK_TABLE_URL: `http://${urls.table}`,
    FIREFLYWICK_OBJECTS_URL: `http://${urls.objects}`,
    FIREFLYWICK_HOSTS_URL: `http://${urls.hosts}`,
    FIREFLYWICK_KEYS: JSON.stringify(keys),
    FIREFLYWICK_LOADS_PER_SECOND: '100',
    FIREFLYWICK_LOG_LEVEL: 'warn',
  };
}

/** Sends single requests until one succeeds, which needs the adapter to be resident. */
async function waitUntilServed(target: Target): Promise<void> {
  for (let attempt = 0; ; attempt++) {
    try {
      await runRound(target, { requests: 1, concurrency: 1, isStream: false, maxTokens: 1 });
      return;
    } catch (error) {
      if (attempt === 100) throw error;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }
}
