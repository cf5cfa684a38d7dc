import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { startFlood } from '../helpers/floodingProcess.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { GatewayDeployment, HOST, MODEL } from './deployment.ts';

const NOT_READING_MS = 1_500;

// Guards against sound streams that are broken off, and endpoints that are probed, because a caller does not read.
it.each([1, 4])(
  'an endpoint is not silent while %d callers do not read its streams',
  async (callers) => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    deployment.register('llm', 'e1', await startFlood('events'), { slots: callers });
    const host = await deployment.addHost();
    await deployment.waitReady(1);
    const [hostname = '', port = ''] = (deployment.fronts[0] ?? '').split(':');
    const responses = { started: 0, ended: 0 };
    for (let index = 0; index < callers; index++) {
      const headers = {
        host: HOST,
        'attempt-id': `s${index}`,
        'deadline-ms': '10000',
        model: MODEL,
        'token-count': '100,10',
        'prompt-prefix': 'ab:100',
      };
      const options = { hostname, port, path: '/notes/1', method: 'POST', agent: false, headers };
      const call = httpRequest(options, (response) => {
        responses.started += 1;
        response.on('error', () => undefined).on('close', () => (responses.ended += 1));
        response.pause();
      });
      call.on('error', () => undefined).end('{}');
      cleanUpAfterTest(() => Promise.resolve(void call.destroy()));
    }
    await waitUntil(() => responses.started === callers);
    await sleep(NOT_READING_MS);
    expect(responses.ended).toBe(0);
    expect(host.observer.metrics.render()).not.toMatch(/^fireflywick_silent_paths_total\S* [1-9]/m);
  },
);
