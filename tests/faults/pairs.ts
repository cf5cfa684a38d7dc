import { expect } from 'vitest';
import type { Deployment } from '../helpers/deployment.ts';
import type { HostProcess } from '../helpers/hostProcess.ts';
import { getAdapters } from '../helpers/layouts.ts';
import { until } from '../support.ts';
import { crashOnPrompt, getCrashes, MAX_CRASHES, sendCrash } from './planned.ts';
import { type FaultCase, moreAnswers } from './runCase.ts';

function getZone({ layout }: Deployment, index: number): string {
  return layout.zones[index]?.name ?? '';
}

function getFirst(hosts: readonly HostProcess[]): HostProcess {
  const [host] = hosts;
  if (host === undefined) throw new Error('no host runs');
  return host;
}

/** Failures that come together. */
export const PAIRS: FaultCase[] = [
  {
    failures: 'F4 F11',
    name: 'a host is killed and restarted while the platform is down',
    seed: 31,
    run: async (deployment, workload) => {
      const host = getFirst(deployment.getHostsOf(getZone(deployment, 0)));
      deployment.platform.setDown(true);
      await host.kill();
      await moreAnswers(workload, 30);
      await deployment.startHost(host.place.id);
      await moreAnswers(workload, 30);
      deployment.platform.setDown(false);
      await deployment.waitUntilReady();
      await moreAnswers(workload, 20);
    },
  },
  {
    failures: 'F6 F10',
    name: 'an owner is paused past its lease while its zone is cut off from the others',
    seed: 32,
    workload: { adapters: 12 },
    run: async (deployment, workload) => {
      const [engine] = deployment.platform.engines;
      const owner = deployment.getHost(await deployment.getOwner(engine?.id ?? ''));
      await deployment.network.cutZone(owner.place.zone, 'zones');
      owner.pause();
      try {
        await deployment.waitForOtherOwner(engine?.id ?? '', owner);
      } finally {
        owner.resume();
      }
      await moreAnswers(workload, 20);
      await deployment.network.heal();
      await moreAnswers(workload, 20);
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F5 F11',
    name: 'the answer of a claim is lost and the host dies',
    seed: 33,
    run: async (deployment, workload) => {
      const { platform, layout, callers } = deployment;
      for (let n = 0; n < 3; n++) {
        const host = getFirst(deployment.balanced);
        const key = `atlas-claim-${n}`;
        platform.loseWrites(2);
        const first = callers.call({ host, service: layout.service, key });
        await until(() => hasClaim(deployment, key));
        await host.kill();
        platform.loseWrites(0);
        await first;
        const other = getFirst(deployment.balanced);
        const kinds = new Set<string | undefined>();
        for (let repeat = 0; repeat < 3; repeat++) {
          const answer = await callers.call({ host: other, service: layout.service, key });
          kinds.add(answer.failure?.kind);
        }
        // Without a recorded answer a repeat must not run the action.
        for (const kind of kinds)
          expect([undefined, 'in_progress', 'outcome_unknown']).toContain(kind);
        await deployment.startHost(host.place.id);
        await deployment.waitUntilReady();
      }
      await moreAnswers(workload, 20);
    },
  },
  {
    failures: 'F2 F11',
    name: 'an engine restarts empty while it is taken over',
    seed: 34,
    workload: { adapters: 12 },
    run: async (deployment, workload) => {
      const id = deployment.platform.engines[0]?.id ?? '';
      const owner = deployment.getHost(await deployment.getOwner(id));
      await owner.kill();
      deployment.platform.getEngine(id).standIn.crash();
      await deployment.waitForOtherOwner(id, owner);
      deployment.platform.getEngine(id).standIn.crash();
      await moreAnswers(workload, 30);
      await deployment.startHost(owner.place.id);
      await deployment.waitUntilReady();
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F8 F10',
    name: 'a crash request is repeated in another zone while the links are cut',
    seed: 35,
    run: async (deployment, workload) => {
      const zone = getZone(deployment, 0);
      await deployment.network.cutZone(zone, 'zones');
      crashOnPrompt(deployment);
      await sendCrash(deployment, getFirst(deployment.getHostsOf(zone)));
      await sendCrash(deployment, getFirst(deployment.getHostsOf(getZone(deployment, 1))));
      await sendCrash(deployment, getFirst(deployment.getHostsOf(getZone(deployment, 2))));
      expect(getCrashes(deployment)).toBeLessThanOrEqual(MAX_CRASHES);
      await deployment.network.heal();
      await moreAnswers(workload, 20);
    },
  },
  {
    failures: 'F4 F11',
    name: 'a plan is confirmed with the table service slow while a host starts',
    seed: 36,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      const host = getFirst(deployment.getHostsOf(getZone(deployment, 1)));
      await host.kill();
      platform.setSlow(700);
      const [name = ''] = getAdapters('corail');
      const adapter = platform.newAdapter(name, 'corail', 'v3');
      const starting = deployment.startHost(host.place.id);
      const revision = await deployment.change({ adapters: [adapter] });
      await deployment.waitUntilReady([await starting]);
      await deployment.waitForRevision(revision);
      platform.setSlow(0);
      await moreAnswers(workload, 20);
    },
  },
  {
    failures: 'F4 G7',
    name: 'a graceful stop begins while the platform is down and ends once it is back',
    seed: 37,
    run: async (deployment, workload) => {
      const host = getFirst(deployment.getHostsOf(getZone(deployment, 0)));
      deployment.platform.setDown(true);
      await moreAnswers(workload, 20);
      const [adapter = ''] = getAdapters('atlas');
      const call = { host, adapter, prompt: 'long', maxTokens: 500, isStream: true };
      const stream = deployment.callers.complete(call);
      const stopped = host.stop();
      expect((await stream).isComplete).toBe(true);
      await moreAnswers(workload, 20);
      // The host leaves the zone row before it ends, which takes the table service.
      deployment.platform.setDown(false);
      expect(await stopped).toBe(0);
      await deployment.startHost(host.place.id);
      await deployment.waitUntilReady();
    },
  },
];

function hasClaim({ platform }: Deployment, key: string): boolean {
  const { rows } = platform.table.standIn;
  return [...rows.keys()].some((row) => row.startsWith('action/') && row.includes(key));
}
