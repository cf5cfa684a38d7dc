import { expect, it } from 'vitest';
import { getKeyDigest } from '../../platform/keys.ts';
import { decodeRouting } from '../../platform/routing.ts';
import { DirectoryHost, newDirectoryChange } from '../helpers/directoryHost.ts';

const CONFIGURATION = {
  version: 5,
  routes: [],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  tenants: [{ name: 'school', apiKeys: ['secret1'] }],
};

// Guards against keys that travel between hosts with the routing table.
it('a routing table that a host tells another one holds no key', () => {
  const table = decodeRouting(CONFIGURATION);
  if (Array.isArray(table)) throw new Error('the configuration is invalid');
  const host = DirectoryHost.create().configure({});
  const change = newDirectoryChange('config', 5, { type: 'routing', table });
  host.answerDirectoryCall('operator', [change], 5).takeAllEffects();
  host.receiveMessage('h1', { type: 'topicAsked', topic: 'operator', after: 0 });
  const told = JSON.stringify(host.takeMessages('h1'));
  expect(told).toContain(getKeyDigest('secret1'));
  expect(told).not.toContain('secret1');
});
