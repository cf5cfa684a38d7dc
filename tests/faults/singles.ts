import { expect } from 'vitest';
import type { Deployment } from '../helpers/deployment.ts';
import { getFirmAdapters } from '../helpers/layouts.ts';
import { confirmPlan, submitPlan } from '../helpers/operatorApi.ts';
import { waitUntil } from '../support.ts';
import { type FaultCase, waitForCompletions } from './runCase.ts';

/** More adapters than the engines have slots for, so that owners must evict. */
const MANY_ADAPTERS = 20;

function getZone({ layout }: Deployment, index: number): string {
  return layout.zones[index]?.name ?? '';
}

/** One failure at a time. */
export const SINGLE_FAILURE_CASES: FaultCase[] = [
  {
    failures: 'F1',
    name: 'all callers request adapters that are not resident',
    seed: 1,
    isLong: true,
    workload: { adapters: MANY_ADAPTERS },
    run: async (_deployment, workload) => {
      await waitForCompletions(workload, 60);
    },
  },
  {
    failures: 'F2',
    name: 'engines restart empty',
    seed: 2,
    run: async (deployment, workload) => {
      for (const { id, standIn } of deployment.platform.engines.slice(0, 3)) {
        standIn.crash();
        await waitForCompletions(workload, 20);
        await deployment.waitUntilEngineLive(id);
      }
    },
  },
  {
    failures: 'F3',
    name: 'loads of an adapter and all loads of an engine fail',
    seed: 3,
    isLong: true,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      const failLoadsOf = getFirmAdapters('atlas').map((name) => `${name}@v1`);
      platform.weightStore.setFaults({ failLoadsOf });
      const [engine] = platform.engines;
      engine?.standIn.setFaults({
        failLoadsOf: getFirmAdapters('corail').flatMap((name) => [`${name}@v1`, `${name}@v2`]),
      });
      engine?.standIn.crash();
      await waitForCompletions(workload, 60);
      platform.weightStore.setFaults({ failLoadsOf: [] });
      engine?.standIn.setFaults({ failLoadsOf: [] });
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F4',
    name: 'the table service and the object store are down past the leases, then slow',
    seed: 4,
    isLong: true,
    workload: { adapters: 6 },
    run: async (deployment, workload) => {
      deployment.platform.setStoresDown(true);
      const downUntil = performance.now() + 20_000;
      while (performance.now() < downUntil) await waitForCompletions(workload, 10);
      deployment.platform.setStoresDown(false);
      deployment.platform.setStoresSlow(1_500);
      await waitForCompletions(workload, 30);
      deployment.platform.setStoresSlow(0);
    },
  },
  {
    failures: 'F5',
    name: 'writes to the table take effect without an answer',
    seed: 5,
    run: async (deployment, workload) => {
      const { platform } = deployment;
      for (let n = 0; n < 3; n++) {
        platform.loseWriteAnswers(6);
        await waitForCompletions(workload, 30);
      }
      const [host] = deployment.runningHosts;
      // Requests in flight used up an unknown number of the lost answers, so clear the rest.
      platform.loseWriteAnswers(0);
      const id = await submitPlan(host?.operatorAddress ?? '', {
        callers: [{ caller: 'atlas', priority: 1 }],
      });
      platform.loseWriteAnswers(2);
      await confirmPlan(host?.operatorAddress ?? '', id);
      platform.loseWriteAnswers(0);
      // A confirmation can be repeated to learn its outcome.
      const { status } = await confirmPlan(host?.operatorAddress ?? '', id);
      expect(status).toBe(200);
      await deployment.waitForRevision(2);
    },
  },
  {
    failures: 'F6',
    name: 'an owner is paused past its lease and resumes',
    seed: 6,
    isLong: true,
    workload: { adapters: MANY_ADAPTERS },
    run: async (deployment, workload) => {
      const [engine] = deployment.platform.engines;
      const owner = deployment.getHost(await deployment.getEngineOwner(engine?.id ?? ''));
      owner.pause();
      try {
        await deployment.waitForOtherOwner(engine?.id ?? '', owner);
        await waitForCompletions(workload, 20);
      } finally {
        owner.resume();
      }
      await waitForCompletions(workload, 30);
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F7',
    name: 'operators confirm conflicting plans at the same time',
    seed: 7,
    run: async (deployment) => {
      const [first, second] = deployment.runningHosts;
      const ids = await Promise.all(
        [first, second].map((host, priority) =>
          submitPlan(host?.operatorAddress ?? '', { callers: [{ caller: 'atlas', priority }] }),
        ),
      );
      const answers = await Promise.all(
        [first, second].map((host, n) => confirmPlan(host?.operatorAddress ?? '', ids[n] ?? '')),
      );
      expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
      const refused = answers.find(({ status }) => status === 409)?.body;
      expect(refused).toMatchObject({ error: { kind: 'stale_plan' } });
      expect(JSON.stringify(refused)).toContain('atlas');
      await deployment.waitForRevision(2);
    },
  },
  {
    failures: 'F9',
    name: 'all open connections are silenced for good',
    seed: 9,
    isLong: true,
    run: async (deployment, workload) => {
      for (const { proxy } of deployment.network.getProxies()) proxy.silenceConnections();
      await waitForCompletions(workload, 40);
      await deployment.waitForOwners();
    },
  },
  {
    failures: 'F10',
    name: 'a zone is cut off from the other zones',
    seed: 10,
    run: async (deployment, workload) => {
      const zone = getZone(deployment, 0);
      await deployment.network.partitionZone(zone, 'zones');
      const zoneHosts = deployment.getZoneHosts(zone);
      const partitionedAt = performance.now();
      await waitUntil(() => hasCompleted(deployment, zoneHosts, partitionedAt + 4_000, 10));
      await deployment.network.heal();
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F10',
    name: 'a zone is cut off from the platform and from other zones in one direction',
    seed: 11,
    isLong: true,
    run: async (deployment, workload) => {
      const zone = getZone(deployment, 1);
      await deployment.network.partitionZone(zone, 'platform');
      await waitForCompletions(workload, 30);
      await deployment.network.partitionZone(zone, 'zones', { inward: true, outward: false });
      const zoneHosts = deployment.getZoneHosts(zone);
      const partitionedAt = performance.now();
      await waitUntil(() => hasCompleted(deployment, zoneHosts, partitionedAt + 4_000, 10));
      await deployment.network.heal();
      await waitForCompletions(workload, 20);
    },
  },
  {
    failures: 'F11',
    name: 'hosts are killed, restarted and replaced',
    seed: 12,
    run: async (deployment, workload) => {
      const [first = '', second = ''] = deployment
        .getZoneHosts(getZone(deployment, 0))
        .map(getHostId);
      await deployment.getHost(first).kill();
      await waitForCompletions(workload, 15);
      await deployment.startHost(first);
      await waitForCompletions(workload, 15);
      const next = await deployment.replaceHost(second);
      await deployment.waitUntilReady([next]);
      await waitForCompletions(workload, 15);
    },
  },
  {
    failures: 'F12',
    name: 'the host list contains hosts that are gone and lacks running ones',
    seed: 13,
    run: async (deployment, workload) => {
      const goneHost = { kind: 'entry', address: '127.0.0.1:9', state: 'live' as const };
      const zone = getZone(deployment, 0);
      deployment.platform.hostList.standIn.setHosts([{ ...goneHost, id: 'gone-1', zone }]);
      const [id = ''] = deployment.getZoneHosts(zone).map(getHostId);
      await deployment.getHost(id).kill();
      const next = await deployment.startHost(id);
      await deployment.waitUntilReady([next]);
      await waitForCompletions(workload, 40);
    },
  },
];

function getHostId({ spec }: { spec: { id: string } }): string {
  return spec.id;
}

/** Returns whether `hosts` completed at least `count` requests sent since `since`, in monotonic ms. */
export function hasCompleted(
  { callers }: Deployment,
  hosts: { callerAddress: string }[],
  since: number,
  count: number,
): boolean {
  const addresses = new Set(hosts.map((host) => host.callerAddress));
  const answered = callers.completions.filter(
    ({ address, sentAt, isComplete }) => addresses.has(address) && sentAt >= since && isComplete,
  );
  return answered.length >= count;
}
