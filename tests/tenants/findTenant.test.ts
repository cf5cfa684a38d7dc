import { describe, expect, it } from 'vitest';
import type { Tenant } from '../../src/routes/types.ts';
import {
  DirectoryHost,
  newDirectoryChange,
  newEndpoint,
  newRoutingContent,
} from '../helpers/directoryHost.ts';

const TENANT: Tenant = {
  name: 'school',
  keyDigests: ['d1'],
  unit: 'request',
  defaultTokens: 0,
  ratePerS: 0,
  burst: 0,
};
const ROUTES = [{}, { name: 'open', pathPrefix: '/open/', isPublic: true }];
const CLOCK_MS = 700_000;
const MAX_KEY_AGE_MS = 5_000;

/** Starts a host whose directory is as of `CLOCK_MS`, and which has an endpoint. */
function startHost(maxKeyAgeMs?: number, tenants: Tenant[] | undefined = [TENANT]): DirectoryHost {
  const host = DirectoryHost.create('h0', 'z1', 1_000, { maxKeyAgeMs });
  host.configure({ routes: ROUTES, tenants, endpoints: [{ id: 'e0' }] });
  return host.answerDirectoryCall('operator', [], 1, false, CLOCK_MS);
}

/** Sends a request and returns its failure, or the tenant with which it was sent. */
function send(host: DirectoryHost, keyDigest: string | undefined, target = '/a/1'): string {
  host.takeAllEffects();
  host.receiveForward({ id: `f${host.now}`, target, labels: { keyDigest } });
  for (const effect of host.takeAllEffects()) {
    if (effect.type === 'failForward') return effect.failure.kind;
    if (effect.type === 'sendForward') return `sent as "${effect.spec.tenant ?? 'anyone'}"`;
  }
  return 'nothing';
}

function changeTenants(host: DirectoryHost, version: number, tenants: Tenant[]): void {
  const content = newRoutingContent(version, ROUTES, 0, tenants);
  host.answerDirectoryCall('operator', [newDirectoryChange('config', version, content)], version);
}

// Guards against requests that run under a key that nobody gave out, or without one.
describe('the key of a request', () => {
  it.each<[string, string | undefined, string, string]>([
    ['names its tenant', 'd1', '/a/1', 'sent as "school"'],
    ['is refused if no tenant holds it', 'd2', '/a/1', 'unauthorized'],
    ['must be present', undefined, '/a/1', 'unauthorized'],
    ['is not needed on a public route', undefined, '/open/1', 'sent as ""'],
    ['is not checked on a public route', 'd2', '/open/1', 'sent as ""'],
  ])('%s', (_name, digest, target, expected) => {
    expect(send(startHost(), digest, target)).toBe(expected);
  });

  it('is not looked at without tenants', () => {
    const host = DirectoryHost.create();
    host.configure({ endpoints: [{ id: 'e0' }] });
    expect(send(host, 'd2')).toBe('sent as "anyone"');
  });

  it('that is unknown may be new to a host that was not confirmed lately', () => {
    const host = startHost();
    host.advance(3_500);
    expect([send(host, 'd2'), send(host, 'd1')]).toEqual(['unproven_key', 'sent as "school"']);
  });
});

// Guards against requests that run under a key which was removed.
describe('a removed key', () => {
  it('is refused, also for a request that waits', () => {
    const host = DirectoryHost.create();
    host.configure({ routes: ROUTES, tenants: [TENANT] });
    host.receiveForward({ id: 'waits', labels: { keyDigest: 'd1' } });
    host.takeAllEffects();
    changeTenants(host, 2, [{ ...TENANT, keyDigests: ['d3'] }]);
    const failed = host.takeEffects('failForward');
    expect(failed.map(({ id, failure }) => [id, failure.kind])).toEqual([
      ['waits', 'unauthorized'],
    ]);
    expect(send(host, 'd1')).toBe('unauthorized');
  });

  it('is refused on a retry of a request that did not run', () => {
    const host = startHost();
    host.receiveForward({ id: 'f1', labels: { keyDigest: 'd1' } });
    const [sent] = host.takeEffects('sendForward');
    changeTenants(host, 2, []);
    host.dispatch({
      type: 'forwardEnded',
      id: 'f1',
      attempt: sent?.spec.attempt ?? '',
      outcome: { type: 'notRun', reason: 'full' },
    });
    host.answerDirectoryCall(
      'endpoints',
      [newDirectoryChange('e9', 30, { type: 'endpoint', endpoint: newEndpoint({ id: 'e9' }) })],
      30,
    );
    host.advance(300);
    const effects = host.takeAllEffects();
    expect(effects.filter(({ type }) => type === 'sendForward')).toEqual([]);
    expect(effects.find((effect) => effect.type === 'failForward')?.failure.kind).toBe(
      'unauthorized',
    );
  });
});

// Guards against a host that runs requests under keys which were removed while it could not learn of it.
describe('without proof from the directory, a host that fails closed', () => {
  it.each<[string, (host: DirectoryHost) => void, string]>([
    ['serves for most of the time', (host) => host.advance(4_400), 'sent as "school"'],
    ['refuses before the time is over', (host) => host.advance(4_600), 'unproven_key'],
    [
      'refuses at once after a clock jumped',
      (host) => host.dispatch({ type: 'clockJumped' }),
      'unproven_key',
    ],
    [
      'serves again after an answer',
      (host) => {
        host.dispatch({ type: 'clockJumped' });
        host.answerDirectoryCall('operator', [], 1, false, CLOCK_MS + 10);
      },
      'sent as "school"',
    ],
    [
      'is not misled by an answer that was delayed',
      (host) => {
        host.advance(8_000);
        host.answerDirectoryCall('operator', [], 1, false, CLOCK_MS + 1_000);
      },
      'unproven_key',
    ],
    [
      'is not misled by a heartbeat that was delayed',
      (host) => {
        host.advance(8_000);
        const told = [1, 10, 20];
        const provenMs = [CLOCK_MS + 1_000, null, null];
        host.receiveMessage('h1', { type: 'directoryFed', told, regainedMs: 0, provenMs });
      },
      'unproven_key',
    ],
    [
      'is proven by the heartbeat of a reader',
      (host) => {
        host.advance(8_000);
        const told = [1, 10, 20];
        const provenMs = [CLOCK_MS + 7_900, null, null];
        host.receiveMessage('h1', { type: 'directoryFed', told, regainedMs: 0, provenMs });
      },
      'sent as "school"',
    ],
  ])('%s', (_name, prepare, expected) => {
    const host = startHost(MAX_KEY_AGE_MS);
    prepare(host);
    expect(send(host, 'd1')).toBe(expected);
  });

  it('serves public routes', () => {
    const host = startHost(MAX_KEY_AGE_MS).advance(60_000);
    expect(send(host, undefined, '/open/1')).toBe('sent as ""');
  });
});

// Guards against a table of a host of an earlier version, which leaves the tenants out.
it('a routing table without a word on tenants is not taken from another host', () => {
  const host = startHost();
  const content = newRoutingContent(2, ROUTES);
  if (content.type === 'routing') delete content.table.tenants;
  const changes = [newDirectoryChange('config', 2, content)];
  host.receiveMessage('h1', { type: 'topicTold', topic: 'operator', after: 1, upTo: 2, changes });
  expect(send(host, 'd2')).toBe('unauthorized');
  expect(host.state.directory.topics.operator.version).toBe(1);
});
