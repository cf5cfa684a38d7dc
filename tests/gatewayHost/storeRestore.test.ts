import { beforeEach, describe, expect, it } from 'vitest';
import { newDirectoryVersion } from '../../src/directory/versions.ts';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const HOSTS = 3;
const MEMBERS_KEY = 'members';

// Guards against hosts that compare versions of before and after a restore, in which they are given out again.
describe('after the store came back from an older copy', () => {
  let deployment: GatewayDeployment;
  let endpoints: PlatformEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    endpoints = await Promise.all(['d1', 'd2', 'd3'].map((id) => deployment.addServer('desk', id)));
    for (let host = 0; host < HOSTS; host++) await deployment.addHost();
    await deployment.waitReady(3);
  });

  function getMembers(): { epoch: number; members: { host: string }[] } {
    return deployment.store.get('fireflywick', MEMBERS_KEY) as ReturnType<typeof getMembers>;
  }

  it('hosts apply what the operator writes again, under versions that they know already', async () => {
    const copy = deployment.store.copy();
    for (let version = 2; version < 6; version++) deployment.configure(version);
    const isInForce = (version: number): boolean =>
      deployment.hosts.every(({ state }) => state.routeIndex.current?.table.version === version);
    await waitUntil(() => isInForce(5));
    deployment.store.restore(copy);
    deployment.configure(7);
    await waitUntil(() => isInForce(7));
  });

  it('hosts use an endpoint that registers again', async () => {
    const copy = deployment.store.copy();
    await deployment.addServer('desk', 'd4');
    const areKnown = (): boolean =>
      deployment.hosts.every(({ state }) => state.fleet.views.get('d4')?.isRemoved === false);
    await waitUntil(areKnown);
    const [host] = deployment.hosts;
    const address = host?.state.fleet.views.get('d4')?.endpoint.address ?? '';
    deployment.store.restore(copy);
    deployment.register('desk', 'd4', address);
    await waitUntil(() =>
      deployment.hosts.every(({ state }) => {
        const entry = state.directory.topics.endpoints.entries.get('d4');
        return entry?.content.type === 'endpoint' && entry.version > newDirectoryVersion(2, 0);
      }),
    );
    expect(areKnown()).toBe(true);
  });

  it('the members row is written again under a higher epoch', async () => {
    const copy = deployment.store.copy();
    await deployment.addHost();
    await deployment.waitReady(3);
    const { epoch } = getMembers();
    deployment.store.restore(copy);
    await waitUntil(() => getMembers().members.length === HOSTS + 1 && getMembers().epoch > epoch);
    await waitUntil(() =>
      deployment.hosts.every(({ state }) => state.owners.row?.epoch === getMembers().epoch),
    );
  });

  it('a quarantined request stays quarantined on a host that starts afterwards', async () => {
    const copy = deployment.store.copy();
    const path = '/booking/crash';
    for (let host = 0; host < HOSTS; host++) {
      for (const { plannedBehaviours } of endpoints) plannedBehaviours.splice(0, 1, 'reset');
      expect((await deployment.send({ path }, host)).status).toBe(502);
    }
    for (const { plannedBehaviours } of endpoints) plannedBehaviours.splice(0);
    await waitUntil(() => deployment.store.get('fireflywick', 'suspects') !== undefined);
    deployment.store.restore(copy);
    await waitUntil(() => deployment.store.get('fireflywick', 'suspects') !== undefined);
    await deployment.addHost();
    await deployment.waitReady(3);
    const { state } = deployment.hosts[HOSTS] ?? {};
    await waitUntil(() => state !== undefined && state.suspects.quarantined.size > 0);
    expect((await deployment.send({ path }, HOSTS)).status).toBe(503);
  });
});
