import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { headerLabels } from '../../platform/headers.ts';
import { StoreDirectory } from '../../platform/directory.ts';
import { ForwardExchange } from '../../src/gatewayHost/forwardExchange.ts';
import { GatewayDeployment } from './deployment.ts';

/** The time limit of the route is 3 s. */
const MAX_ANSWER_MS = 1_500;

function fail(): never {
  throw new Error('planned');
}

// Guards against requests that wait until their callers give up because their answer could not be written.
describe('a request is answered at once when this host fails', () => {
  let deployment: GatewayDeployment;

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    await deployment.addServer('desk', 'd1');
    await deployment.addHost({ 'log-level': 'error' });
    await deployment.waitReady(1);
  });

  afterEach(() => {
    vi.restoreAllMocks();
  });

  it.each<[string, () => void]>([
    [
      'to write its response',
      () =>
        vi.spyOn(ForwardExchange.prototype, 'sendBufferedResponse').mockImplementationOnce(fail),
    ],
    [
      'to send it to an endpoint',
      () => vi.spyOn(headerLabels, 'getForwardHeaders').mockImplementationOnce(fail),
    ],
  ])('%s', async (_name, plan) => {
    plan();
    const startedAt = performance.now();
    const answer = await deployment.send({ path: '/booking/1' });
    expect(answer).toMatchObject({ status: 500, error: undefined });
    expect(answer.body).toContain('"outcome":"unknown"');
    expect(performance.now() - startedAt).toBeLessThan(MAX_ANSWER_MS);
    expect(deployment.hosts[0]?.state.forwards.inFlight.size).toBe(0);
    expect((await deployment.send({ path: '/booking/2' })).status).toBe(200);
  });

  it('and reads the directory again after a call to it rejected', async () => {
    vi.spyOn(StoreDirectory.prototype, 'watch').mockRejectedValueOnce(new Error('planned'));
    deployment.configure(2);
    deployment.configure(3);
    await vi.waitFor(() => {
      const version = deployment.hosts[0]?.state.routeIndex.current?.table.version;
      expect(version).toBe(3);
    }, 10_000);
  });
});
