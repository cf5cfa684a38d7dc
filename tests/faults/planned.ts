import { expect } from 'vitest';
import type { Deployment } from '../helpers/deployment.ts';
import { getFirmAdapters } from '../helpers/layouts.ts';
import { waitUntil } from '../support.ts';
import { type FaultCase, waitForCompletions } from './runCase.ts';

/** Prompt on which every engine crashes. */
export const CRASH_PROMPT = 'poison pill';
/** Engines that one crash request may crash before it is quarantined. */
export const MAX_CRASHES = 2;

export function crashEnginesOnPrompt({ platform }: Deployment): void {
  for (const { standIn } of platform.engines) standIn.setFaults({ crashOn: CRASH_PROMPT });
}

export function getCrashCount({ platform }: Deployment): number {
  return platform.engines.reduce((sum, { standIn }) => sum + standIn.records.crashes.length, 0);
}

/** Sends the crash request to `host`; returns the kind of its failure. */
export async function sendCrashRequest(
  { callers }: Deployment,
  host: Deployment['runningHosts'][number],
): Promise<string | undefined> {
  const [adapter = ''] = getFirmAdapters('atlas');
  const record = await callers.sendCompletion({ host, adapter, prompt: CRASH_PROMPT });
  expect(record.isComplete).toBe(false);
  return record.failure?.kind;
}

/** A crash request, and planned changes: leaving endpoints, graceful restarts and new versions. */
export const PLANNED_CASES: FaultCase[] = [
  {
    failures: 'F8',
    name: 'a request crashes each engine that runs it, and its caller retries it on every host',
    seed: 8,
    run: async (deployment, workload) => {
      crashEnginesOnPrompt(deployment);
      const kinds = [];
      for (const host of deployment.runningHosts)
        kinds.push(await sendCrashRequest(deployment, host));
      expect(getCrashCount(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      expect(kinds.at(-1)).toBe('request_quarantined');
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'G6',
    name: 'an engine and an endpoint are marked as leaving by an intent under load',
    seed: 21,
    run: async (deployment, workload) => {
      const { engines, endpoints } = deployment.platform;
      await deployment.markEndpointsLeaving(engines[0]?.id ?? '', endpoints[0]?.id ?? '');
      const knownAt = Math.max(...deployment.leavingKnownAt.values());
      await waitUntil(() => performance.now() > knownAt + 6_000);
      await waitForCompletions(workload, 30);
    },
  },
  {
    failures: 'G7',
    name: 'all hosts of a zone are restarted gracefully one after the other under load',
    seed: 22,
    run: async (deployment, workload) => {
      const zone = deployment.layout.zones[0]?.name ?? '';
      for (const host of deployment.getZoneHosts(zone)) {
        // Keeps long streams in flight while the host stops.
        const streams = getFirmAdapters('corail')
          .slice(0, 3)
          .map((adapter, n) => {
            const prompt = `stream ${n} through ${host.spec.id}`;
            const call = { host, adapter, prompt, maxTokens: 500, isStream: true };
            return deployment.callers.sendCompletion(call);
          });
        await waitForCompletions(workload, 5);
        expect(await host.stop()).toBe(0);
        expect((await Promise.all(streams)).map(({ isComplete }) => isComplete)).toEqual(
          streams.map(() => true),
        );
        await deployment.waitUntilReady([await deployment.startHost(host.spec.id)]);
      }
    },
  },
  {
    failures: 'G8',
    name: 'a new version is in force on every host while the table service is slow',
    seed: 23,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      const [name = ''] = getFirmAdapters('atlas');
      platform.setStoresSlow(500);
      const adapter = platform.newAdapter(name, 'atlas', 'v3');
      const confirmedAt = performance.now();
      await deployment.waitForRevision(await deployment.applyIntent({ adapters: [adapter] }));
      // G8 allows 5 s from the confirmation, which itself makes five calls of 500 ms to the table service.
      expect(performance.now() - confirmedAt).toBeLessThan(7_500);
      platform.setStoresSlow(0);
      const answers = await Promise.all(
        deployment.runningHosts.map((host) => {
          const prompt = `new version through ${host.spec.id}`;
          return deployment.callers.sendCompletion({ host, adapter: name, version: 'v3', prompt });
        }),
      );
      expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
      await waitForCompletions(workload, 10);
    },
  },
];
