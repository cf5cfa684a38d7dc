import { describe, expect, it } from 'vitest';
import {
  type Crowd,
  dripBody,
  readNothing,
  runCrowd,
  sendAhead,
  sendAndReadNothing,
  sendBody,
  sendChunks,
  sendFields,
} from '../helpers/callerCrowds.ts';
import { NODE_FLAGS, observeCrowd } from '../helpers/crowdObservation.ts';
import { getCallerKey } from '../helpers/callers.ts';
import { Deployment } from '../helpers/deployment.ts';
import type { Layout } from '../helpers/layouts.ts';
import { getPeakMb } from '../helpers/processMemory.ts';

const LAYOUT: Layout = {
  name: 'small',
  region: 'ma-north',
  pool: 'koji-llm',
  service: 'order-desk',
  zones: [{ name: 'casa-a', hosts: 1, engines: 1, endpoints: 1 }],
};
const PATH = '/services/order-desk/orders/1';
/** Memory and descriptors of the host's machine; a host at rest takes about 100 MB. */
const MEMORY_MB = 160;
const DESCRIPTORS = 300;
/** Descriptors that connections of callers may take, with those that a host at rest has open. */
const MAX_OPEN_DESCRIPTORS = 160;
/** Limit on the body of a request. */
const BODY_BYTES = 1_000_000;
const KEY = `authorization: Bearer ${getCallerKey('atlas')}\r\n`;
const NO_KEY = '';

type Listener = 'callers' | 'operators';

const CROWDS: [string, Listener, string, Crowd][] = [
  ['bodies that stop short', 'callers', KEY, { callers: 60, run: sendBody(PATH, BODY_BYTES) }],
  ['bodies without a key', 'callers', NO_KEY, { callers: 60, run: sendBody(PATH, BODY_BYTES) }],
  ['bodies without a route', 'callers', KEY, { callers: 60, run: sendBody('/none', BODY_BYTES) }],
  [
    'bodies in chunks that stop short',
    'callers',
    KEY,
    { callers: 60, run: sendChunks('/v1/completions', BODY_BYTES - 10_000, 8_000) },
  ],
  [
    'bodies in chunks of one byte',
    'callers',
    KEY,
    { callers: 30, run: sendChunks(PATH, 300_000, 1) },
  ],
  [
    'bodies far over the limit, in chunks',
    'callers',
    KEY,
    { callers: 60, run: sendChunks(PATH, 20 * BODY_BYTES, 8_000) },
  ],
  ['requests sent ahead', 'callers', KEY, { callers: 30, run: sendAhead(PATH, 10_000) }],
  [
    'large answers that are not read',
    'callers',
    KEY,
    { callers: 90, run: sendAndReadNothing(PATH, BODY_BYTES - 10_000) },
  ],
  [
    'bodies that go on byte by byte',
    'callers',
    KEY,
    { callers: 90, run: dripBody(PATH, BODY_BYTES, 800_000) },
  ],
  ['heads of many fields', 'callers', KEY, { callers: 300, run: sendFields(PATH, 1_900) }],
  [
    'bodies at the readiness check',
    'operators',
    NO_KEY,
    { callers: 300, run: sendBody('/readyz', 60_000) },
  ],
  [
    'metrics that are not read',
    'operators',
    NO_KEY,
    { callers: 300, run: readNothing('/metrics') },
  ],
];

// Guards against callers that end a process, or keep it from all others.
describe('an entry host outlives a crowd of', () => {
  it.each(CROWDS)('%s', async (_name, listener, headers, crowd) => {
    const settings = {
      'log-level': 'error',
      'body-limit': String(BODY_BYTES),
      memory: String(MEMORY_MB),
      descriptors: String(DESCRIPTORS),
    };
    const deployment = await Deployment.start(LAYOUT, settings, NODE_FLAGS);
    const [host] = deployment.runningHosts;
    if (host === undefined) throw new Error('no host is running');
    let calls = 0;
    const send = async () => {
      calls += 1;
      const call = { host, service: 'order-desk', key: `atlas-${calls}`, method: 'GET' };
      return (await deployment.callers.callService(call)).status;
    };
    expect(await send()).toBe(200);
    const address = { callers: host.callerAddress, operators: host.operatorAddress }[listener];
    const crowded = runCrowd(address, crowd, headers);
    const { openDescriptors, statuses } = await observeCrowd(crowded, host.pid, send);
    expect(host.isRunning).toBe(true);
    expect(statuses).toContain(200);
    expect(openDescriptors).toBeLessThanOrEqual(MAX_OPEN_DESCRIPTORS);
    expect(getPeakMb(host.pid)).toBeLessThanOrEqual(MEMORY_MB);
  });
});
