import meow from 'meow';
import { runOverheadBench } from './overhead/report.ts';
import { runPolicy } from './policy/run.ts';
import { runScale } from './scale/run.ts';

const cli = meow(
  `
  Usage
    npm run bench -- BENCH [options]

  Benches
    policy      routing and load decisions, against baselines and a clairvoyant bound
    overhead    the entry host against a bare forwarder; needs "npm run build"
    scale       CPU time and memory at 1, 10 and 100 times the base size

  Options
    --scenario NAME     one scenario of the policy bench; default all
    --seed N            one seed; default all tuning seeds
    --held-out          the seeds that are not used for tuning
    --slots N           adapter slots of an engine (8)
    --zipf X            Zipf exponent of the adapters' popularity; default by scenario
    --stall-weight X    0 weighs batch efficiency only, 1 load stalls only; default by scenario
    --report FILE.html  writes charts of the policy bench to one file
    --rounds N          rounds of the overhead bench (5)
    --json              JSON output: one line per scenario or load, or one line in all for scale
`,
  {
    importMeta: import.meta,
    flags: {
      scenario: { type: 'string' },
      seed: { type: 'number' },
      heldOut: { type: 'boolean', default: false },
      slots: { type: 'number', default: 8 },
      zipf: { type: 'number' },
      stallWeight: { type: 'number' },
      report: { type: 'string' },
      rounds: { type: 'number', default: 5 },
      json: { type: 'boolean', default: false },
    },
  },
);

type Flags = typeof cli.flags;

const BENCHES: Record<string, (flags: Flags) => number | Promise<number>> = {
  policy: runPolicy,
  scale: runScale,
  overhead: runOverheadBench,
};

const bench = BENCHES[cli.input[0] ?? ''];
if (bench === undefined) cli.showHelp(2);
else process.exitCode = await bench(cli.flags);
