import { expect } from 'vitest';
import type { Deployment } from '../helpers/deployment.ts';
import type { HostProcess } from '../helpers/hostProcess.ts';
import { getFirmAdapters } from '../helpers/layouts.ts';
import { waitUntil } from '../support.ts';
import { crashEnginesOnPrompt, getCrashCount, MAX_CRASHES, sendCrashRequest } from './planned.ts';
import { type FaultCase, waitForCompletions } from './runCase.ts';

function getZone({ layout }: Deployment, index: number): string {
  return layout.zones[index]?.name ?? '';
}

function getFirst(hosts: readonly HostProcess[]): HostProcess {
  const [host] = hosts;
  if (host === undefined) throw new Error('no host is running');
  return host;
}

/** Two failures at the same time. */
export const FAILURE_PAIR_CASES: FaultCase[] = [
  {
    failures: 'F4 F11',
    name: 'a host is killed and restarted while the platform is down',
    seed: 31,
    run: async (deployment, workload) => {
      const host = getFirst(deployment.getZoneHosts(getZone(deployment, 0)));
      deployment.platform.setStoresDown(true);
      await host.kill();
      await waitForCompletions(workload, 30);
      await deployment.startHost(host.spec.id);
      await waitForCompletions(workload, 30);
      deployment.platform.setStoresDown(false);
      await deployment.waitUntilReady();
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F6 F10',
    name: 'an owner is paused past its lease while its zone is cut off from the others',
    seed: 32,
    workload: { adapters: 12 },
    run: async (deployment, workload) => {
      const [engine] = deployment.platform.engines;
      const owner = deployment.getHost(await deployment.getEngineOwner(engine?.id ?? ''));
      await deployment.network.partitionZone(owner.spec.zone, 'zones');
      owner.pause();
      try {
        await deployment.waitForOtherOwner(engine?.id ?? '', owner);
      } finally {
        owner.resume();
      }
      await waitForCompletions(workload, 20);
      await deployment.network.heal();
      await waitForCompletions(workload, 20);
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F5 F11',
    name: 'the answer of a claim is lost and the host is killed',
    seed: 33,
    run: async (deployment, workload) => {
      const { platform, layout, callers } = deployment;
      for (let n = 0; n < 3; n++) {
        const host = getFirst(deployment.balancedHosts);
        const key = `atlas-claim-${n}`;
        platform.loseWriteAnswers(2);
        const first = callers.callService({ host, service: layout.service, key });
        await waitUntil(() => hasClaim(deployment, key));
        await host.kill();
        platform.loseWriteAnswers(0);
        await first;
        const other = getFirst(deployment.balancedHosts);
        const kinds = new Set<string | undefined>();
        for (let repeat = 0; repeat < 3; repeat++) {
          const answer = await callers.callService({ host: other, service: layout.service, key });
          kinds.add(answer.failure?.kind);
        }
        // Without a recorded response, a retry must not run the action again.
        for (const kind of kinds)
          expect([undefined, 'in_progress', 'outcome_unknown']).toContain(kind);
        await deployment.startHost(host.spec.id);
        await deployment.waitUntilReady();
      }
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F2 F11',
    name: 'an engine restarts empty while it is taken over',
    seed: 34,
    workload: { adapters: 12 },
    run: async (deployment, workload) => {
      const id = deployment.platform.engines[0]?.id ?? '';
      const owner = deployment.getHost(await deployment.getEngineOwner(id));
      await owner.kill();
      deployment.platform.getEngine(id).standIn.crash();
      await deployment.waitForOtherOwner(id, owner);
      deployment.platform.getEngine(id).standIn.crash();
      await waitForCompletions(workload, 30);
      await deployment.startHost(owner.spec.id);
      await deployment.waitUntilReady();
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F8 F10',
    name: 'a crash request is retried in other zones while its first zone is partitioned',
    seed: 35,
    run: async (deployment, workload) => {
      const zone = getZone(deployment, 0);
      await deployment.network.partitionZone(zone, 'zones');
      crashEnginesOnPrompt(deployment);
      await sendCrashRequest(deployment, getFirst(deployment.getZoneHosts(zone)));
      await sendCrashRequest(deployment, getFirst(deployment.getZoneHosts(getZone(deployment, 1))));
      await sendCrashRequest(deployment, getFirst(deployment.getZoneHosts(getZone(deployment, 2))));
      expect(getCrashCount(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      await deployment.network.heal();
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F4 F11',
    name: 'a plan is confirmed with the table service slow while a host starts',
    seed: 36,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      const host = getFirst(deployment.getZoneHosts(getZone(deployment, 1)));
      await host.kill();
      platform.setStoresSlow(700);
      const [name = ''] = getFirmAdapters('corail');
      const adapter = platform.newAdapter(name, 'corail', 'v3');
      const starting = deployment.startHost(host.spec.id);
      const revision = await deployment.applyIntent({ adapters: [adapter] });
      await deployment.waitUntilReady([await starting]);
      await deployment.waitForRevision(revision);
      platform.setStoresSlow(0);
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F4 G7',
    name: 'a graceful stop begins while the platform is down and ends once it is back',
    seed: 37,
    run: async (deployment, workload) => {
      const host = getFirst(deployment.getZoneHosts(getZone(deployment, 0)));
      deployment.platform.setStoresDown(true);
      await waitForCompletions(workload, 20);
      const [adapter = ''] = getFirmAdapters('atlas');
      const call = { host, adapter, prompt: 'long', maxTokens: 500, isStream: true };
      const stream = deployment.callers.sendCompletion(call);
      const stopped = host.stop();
      expect((await stream).isComplete).toBe(true);
      await waitForCompletions(workload, 20);
      // The host removes itself from the zone row before it exits, for which it needs the table service.
      deployment.platform.setStoresDown(false);
      expect(await stopped).toBe(0);
      await deployment.startHost(host.spec.id);
      await deployment.waitUntilReady();
    },
  },
];

function hasClaim({ platform }: Deployment, key: string): boolean {
  const { rows } = platform.table.standIn;
  return [...rows.keys()].some((row) => row.startsWith('action/') && row.includes(key));
}
