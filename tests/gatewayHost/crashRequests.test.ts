import { beforeEach, describe, expect, it } from 'vitest';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const PATH = '/booking/crash';

describe('a request under which endpoints reset their connections', () => {
  let deployment: GatewayDeployment;
  let endpoints: PlatformEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    endpoints = await Promise.all(['d1', 'd2', 'd3'].map((id) => deployment.addServer('desk', id)));
    for (let host = 0; host < 3; host++) await deployment.addHost();
    await deployment.waitReady(3);
  });

  function countCalls(): number {
    return endpoints.reduce((sum, { calls }) => sum + calls.length, 0);
  }

  /** Sends the request to each host once; each endpoint resets the connection of the next call. */
  async function sendToAllHosts(): Promise<number[]> {
    const statuses: number[] = [];
    for (let host = 0; host < 3; host++) {
      for (const { plannedBehaviours } of endpoints) plannedBehaviours.splice(0, 1, 'reset');
      statuses.push((await deployment.send({ path: PATH }, host)).status);
    }
    for (const { plannedBehaviours } of endpoints) plannedBehaviours.splice(0);
    return statuses;
  }

  it('is refused by all hosts after three of them, and by one that starts later', async () => {
    expect(await sendToAllHosts()).toEqual([502, 502, 502]);
    expect(countCalls()).toBe(3);
    const isKnown = (): boolean =>
      deployment.hosts.every(({ state }) =>
        [...state.suspects.byAttribute.values()].some(({ crashes }) => crashes.length === 3),
      );
    await waitUntil(isKnown);
    await waitUntil(() => deployment.store.get('fireflywick', 'suspects') !== undefined);
    await deployment.addHost();
    await waitUntil(isKnown);
    for (let host = 0; host < 4; host++) {
      const { status, headers } = await deployment.send({ path: PATH }, host);
      expect(status).toBe(503);
      expect(headers['retry-after']).toBeDefined();
    }
    expect(countCalls()).toBe(3);
  });

  it('does not keep other requests from running', async () => {
    await sendToAllHosts();
    expect((await deployment.send({ path: '/booking/other' })).status).toBe(200);
  });
});
