import { mkdirSync, writeFileSync } from 'node:fs';
import { expect, onTestFailed } from 'vitest';
import { waitUntil } from '../support.ts';
import { Deployment } from '../helpers/deployment.ts';
import { FIRMS, getFirmAdapters, type Layout } from '../helpers/layouts.ts';
import { CallerWorkload, type WorkloadOptions } from '../helpers/callerWorkload.ts';
import { findViolations } from './checker.ts';

export interface FaultCase {
  /** Failures that the case injects or guarantees that it checks, such as `F4 F11`. */
  failures: string;
  name: string;
  seed: number;
  /** Whether the case runs in one layout only, because it waits for leases or timeouts. */
  isLong?: boolean;
  workload?: Partial<WorkloadOptions>;
  settings?: Record<string, string>;
  /** Injects the failures while callers send requests, and ends those that do not end by themselves. */
  run: (deployment: Deployment, workload: CallerWorkload) => Promise<void>;
}

/** Returns rows for `it.each` with titles for `%s`, because vitest shortens the values of `$name`. */
export function getTestRows(cases: readonly FaultCase[]): [string, FaultCase][] {
  return cases.map((fault) => [`${fault.failures}: ${fault.name}`, fault]);
}

/** Complete responses before the failure, so that adapters are resident and requests are in flight. */
const WARM_UP_ANSWERS = 30;
/** Limit for every host to serve requests again after the failures have ended. */
const RECOVERY_TIMEOUT_MS = 45_000;

/** Folder for the hosts' logs of failed cases. */
const LOG_FOLDER = 'dist/fault-logs';

/** Runs one case on its own deployment, then checks all guarantees. */
export async function runCase(layout: Layout, fault: FaultCase): Promise<void> {
  const deployment = await Deployment.start(layout, fault.settings);
  // Also runs if the test exceeds its time limit.
  onTestFailed(() => saveLogs(deployment, fault));
  const workload = CallerWorkload.start(deployment, { seed: fault.seed, ...fault.workload });
  await waitUntil(() => workload.completedCount >= WARM_UP_ANSWERS);
  await fault.run(deployment, workload);
  await workload.stop();
  await expectRecovery(deployment);
  await deployment.collectDrafts();
  expect(findViolations(deployment)).toEqual([]);
}

/** Writes the engines' crashes and all hosts' logs to a file, to trace failures that are hard to reproduce. */
function saveLogs(deployment: Deployment, { failures, name }: FaultCase): void {
  const crashes = deployment.platform.engines.flatMap(({ id, standIn }) =>
    standIn.records.crashes.map((crash) => `engine ${id}: ${JSON.stringify(crash)}`),
  );
  const logs = deployment.runs.flatMap(({ spec, incarnation, log }) =>
    log.map((line) => `${spec.id}.${incarnation}: ${line}`),
  );
  mkdirSync(LOG_FOLDER, { recursive: true });
  const file = `${failures}-${name}`.replaceAll(/[^A-Za-z0-9]+/g, '-');
  writeFileSync(`${LOG_FOLDER}/${file}.txt`, [...crashes, ...logs].join('\n'));
}

/** Waits until `count` more completions of the workload are complete. */
export function waitForCompletions(workload: CallerWorkload, count: number): Promise<void> {
  const target = workload.completedCount + count;
  return waitUntil(() => workload.completedCount >= target, 30_000);
}

/** Waits until every running host completes a request of each firm. */
async function expectRecovery(deployment: Deployment): Promise<void> {
  await Promise.all(
    deployment.runningHosts.flatMap((host) =>
      FIRMS.map((firm) =>
        waitUntil(async () => {
          const adapter = getFirmAdapters(firm)[0] ?? '';
          const prompt = `recovery of ${host.spec.id}`;
          const { isComplete } = await deployment.callers.sendCompletion({ host, adapter, prompt });
          return isComplete;
        }, RECOVERY_TIMEOUT_MS),
      ),
    ),
  );
}
