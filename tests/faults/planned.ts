import { expect } from 'vitest';
import type { Deployment } from '../helpers/deployment.ts';
import { getAdapters } from '../helpers/layouts.ts';
import { until } from '../support.ts';
import { type FaultCase, moreAnswers } from './runCase.ts';

/** Prompt on which every engine crashes. */
export const CRASH_PROMPT = 'poison pill';
/** Engines that one such request may crash. */
export const MAX_CRASHES = 2;

export function crashOnPrompt({ platform }: Deployment): void {
  for (const { standIn } of platform.engines) standIn.setFaults({ crashOn: CRASH_PROMPT });
}

export function getCrashes({ platform }: Deployment): number {
  return platform.engines.reduce((sum, { standIn }) => sum + standIn.records.crashes.length, 0);
}

/** Sends the crash request through `host`; returns the kind of its failure. */
export async function sendCrash(
  { callers }: Deployment,
  host: Deployment['running'][number],
): Promise<string | undefined> {
  const [adapter = ''] = getAdapters('atlas');
  const record = await callers.complete({ host, adapter, prompt: CRASH_PROMPT });
  expect(record.isComplete).toBe(false);
  return record.failure?.kind;
}

/** A crash request, and what operators plan: leaving endpoints, stops and changes. */
export const PLANNED: FaultCase[] = [
  {
    failures: 'F8',
    name: 'a request crashes each engine that runs it, and its caller repeats it on every host',
    seed: 8,
    run: async (deployment, workload) => {
      crashOnPrompt(deployment);
      const kinds = [];
      for (const host of deployment.running) kinds.push(await sendCrash(deployment, host));
      expect(getCrashes(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      expect(kinds.at(-1)).toBe('request_quarantined');
      await moreAnswers(workload, 20);
    },
  },
  {
    failures: 'G6',
    name: 'an engine and an endpoint leave by intent under load',
    seed: 21,
    run: async (deployment, workload) => {
      const { engines, endpoints } = deployment.platform;
      await deployment.leave(engines[0]?.id ?? '', endpoints[0]?.id ?? '');
      const knownAt = Math.max(...deployment.leaving.values());
      await until(() => performance.now() > knownAt + 6_000);
      await moreAnswers(workload, 30);
    },
  },
  {
    failures: 'G7',
    name: 'all hosts of a zone are restarted gracefully one after the other under load',
    seed: 22,
    run: async (deployment, workload) => {
      const zone = deployment.layout.zones[0]?.name ?? '';
      for (const host of deployment.getHostsOf(zone)) {
        // Long streams are in flight when the host stops.
        const streams = getAdapters('corail')
          .slice(0, 3)
          .map((adapter, n) => {
            const prompt = `stream ${n} through ${host.place.id}`;
            const call = { host, adapter, prompt, maxTokens: 500, isStream: true };
            return deployment.callers.complete(call);
          });
        await moreAnswers(workload, 5);
        expect(await host.stop()).toBe(0);
        expect((await Promise.all(streams)).map(({ isComplete }) => isComplete)).toEqual(
          streams.map(() => true),
        );
        await deployment.waitUntilReady([await deployment.startHost(host.place.id)]);
      }
    },
  },
  {
    failures: 'G8',
    name: 'a new version is in force on every host while the table service is slow',
    seed: 23,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      const [name = ''] = getAdapters('atlas');
      platform.setSlow(500);
      const adapter = platform.newAdapter(name, 'atlas', 'v3');
      const confirmedAt = performance.now();
      await deployment.waitForRevision(await deployment.change({ adapters: [adapter] }));
      // G8 allows 5 s from the confirmation, which itself needs five calls to the slow table.
      expect(performance.now() - confirmedAt).toBeLessThan(7_500);
      platform.setSlow(0);
      const answers = await Promise.all(
        deployment.running.map((host) => {
          const prompt = `new version through ${host.place.id}`;
          return deployment.callers.complete({ host, adapter: name, version: 'v3', prompt });
        }),
      );
      expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
      await moreAnswers(workload, 10);
    },
  },
];
