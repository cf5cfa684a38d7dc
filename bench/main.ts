import meow from 'meow';
import { runOverheadBench } from './overhead/report.ts';
import { runPolicy } from './policy/run.ts';
import { runScale } from './scale/run.ts';

const cli = meow(
  `
  Usage
    npm run bench -- BENCH [options]

  Benches
    policy      decisions under load, against baselines and a clairvoyant bound
    overhead    the entry host against a bare forwarder; needs "npm run build"
    scale       processor time and memory at 1, 10 and 100 times today's size

  Options
    --scenario NAME     one scenario of the policy bench; all when absent
    --seed N            one seed; all tuning seeds when absent
    --held-out          the seeds that tuning never sees
    --slots N           adapter slots of an engine (8)
    --zipf X            exponent of the adapters' popularity
    --stall-weight X    0 weighs batch efficiency only, 1 load stalls only
    --report FILE.html  draws the results of the policy bench into one file
    --rounds N          rounds of the overhead bench (5)
    --json              one JSON line for each scenario
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
