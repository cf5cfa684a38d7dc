import { mkdirSync, writeFileSync } from 'node:fs';
import { expect, onTestFailed } from 'vitest';
import { waitUntil } from '../support.ts';
import { Deployment } from '../helpers/deployment.ts';
import { FIRMS, getFirmAdapters, type Layout } from '../helpers/layouts.ts';
import { CallerWorkload, type WorkloadOptions } from '../helpers/callerWorkload.ts';
import { findViolations } from './checker.ts';

export interface FaultCase {
  /** Failures that the case injects. */
  failures: string;
  name: string;
  seed: number;
  /** Runs in one layout only, because it waits for leases or timeouts. */
  isLong?: boolean;
  workload?: Partial<WorkloadOptions>;
  settings?: Record<string, string>;
  /** Injects the failures while the callers send, and heals what does not heal by itself. */
  run: (deployment: Deployment, workload: CallerWorkload) => Promise<void>;
}

/** Returns the rows of `it.each`; a title with `%s` is not shortened, as one with `$name` is. */
export function getTestRows(cases: readonly FaultCase[]): [string, FaultCase][] {
  return cases.map((fault) => [`${fault.failures}: ${fault.name}`, fault]);
}

/** Complete answers before the failure, so that adapters are resident and requests in flight. */
const WARM_UP_ANSWERS = 30;
/** Time within which every host serves again once nothing fails any more. */
const RECOVERY_TIMEOUT_MS = 45_000;

/** Where the hosts' logs of a failed case are kept. */
const LOG_FOLDER = 'dist/fault-logs';

/** Runs one case over a deployment of its own and checks all guarantees afterwards. */
export async function runCase(layout: Layout, fault: FaultCase): Promise<void> {
  const deployment = await Deployment.start(layout, fault.settings);
  // Also called when the test takes longer than its limit.
  onTestFailed(() => saveLogs(deployment, fault));
  const workload = CallerWorkload.start(deployment, { seed: fault.seed, ...fault.workload });
  await waitUntil(() => workload.completedCount >= WARM_UP_ANSWERS);
  await fault.run(deployment, workload);
  await workload.stop();
  await expectRecovery(deployment);
  await deployment.collectDrafts();
  expect(findViolations(deployment)).toEqual([]);
}

/** Writes the engines' crashes and the logs of all hosts, so that a failure seen once can be traced. */
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

/** Waits until `count` more answers are complete. */
export function waitForCompletions(workload: CallerWorkload, count: number): Promise<void> {
  const target = workload.completedCount + count;
  return waitUntil(() => workload.completedCount >= target, 30_000);
}

/** Every running host must answer a request of each firm again. */
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
