import { beforeEach, describe, expect, it } from 'vitest';
import { sha256 } from '../../src/base/hash.ts';
import { newSuspect } from '../../src/suspects/mergeSuspects.ts';
import { publishSuspects } from '../../src/suspects/suspectReports.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const KEY = 'operator-key';
const ATTRIBUTE = 'promptPart:5c1e/07+a2';
const KEYS = [{ name: 'olga', firm: 'atlas', role: 'operator', sha256: sha256(KEY) }];
const SETTINGS = { 'operator-listen': '127.0.0.1:0', keys: JSON.stringify(KEYS) };

describe('the operators of a gateway', () => {
  let deployment: GatewayDeployment;

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    await deployment.addServer('desk', 'd1');
    for (let host = 0; host < 2; host++) await deployment.addHost(SETTINGS);
    await deployment.waitReady(1);
  });

  function call(method: string, path: string, key = KEY): Promise<Response> {
    const url = `http://127.0.0.1:${deployment.operatorPorts[0]}${path}`;
    return fetch(url, { method, headers: { authorization: `Bearer ${key}` } });
  }

  function send(host: number): Promise<{ status: number }> {
    const headers = { 'prompt-prefix': '5c1e/07+a2:10,91bd:20' };
    return deployment.send({ path: '/booking/1', headers }, host);
  }

  it('list suspects and clear a quarantined one, on all hosts', async () => {
    const suspect = { ...newSuspect(ATTRIBUTE), crashes: ['d9@1'], isQuarantined: true };
    for (const { state } of deployment.hosts) publishSuspects(state, [suspect], state.now);
    expect((await send(1)).status).toBe(503);
    expect(await (await call('GET', '/v1/suspects')).json()).toMatchObject({
      suspects: [{ attribute: ATTRIBUTE, isQuarantined: true }],
    });
    const path = `/v1/suspects/${encodeURIComponent(ATTRIBUTE)}`;
    expect(await (await call('DELETE', path)).json()).toEqual({ attribute: ATTRIBUTE });
    await waitUntil(() => deployment.hosts.every(({ state }) => state.suspects.active.size === 0));
    expect((await send(0)).status).toBe(200);
    expect((await send(1)).status).toBe(200);
  });

  it.each([
    ['without a valid key', 'GET', '/v1/suspects', 'other', 401],
    ['a suspect that does not exist', 'DELETE', '/v1/suspects/x', KEY, 404],
    ['a command that gateways do not take', 'GET', '/v1/drafts', KEY, 404],
  ])('are refused: %s', async (_name, method, path, key, status) => {
    expect((await call(method, path, key)).status).toBe(status);
  });
});
