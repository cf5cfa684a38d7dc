import { describe, expect, it } from 'vitest';
import { getCallerIdleTimeoutMs } from '../../src/forwards/forwardAdmission.ts';
import { decodeEndpoint, decodeAdapterReport } from '../../platform/endpoints.ts';
import { getKeyDigest } from '../../platform/keys.ts';
import { headerLabels } from '../../platform/headers.ts';
import { decodeRouting } from '../../platform/routing.ts';

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z1',
  version: 'v1.2',
  slots: 4,
  state: 'ready',
  coldLeftMs: 0,
  seq: 3,
  born: 17,
  models: [{ name: 'm', version: 1, adapters: ['a1@2', 'a2'] }],
};

// Guards against an invalid entry that is taken for an engine, and against misread field names.
describe('decodeEndpoint', () => {
  it('decodes an entry into an endpoint', () => {
    expect(decodeEndpoint('i-1', ENTRY)).toEqual({
      id: 'i-1',
      service: 's',
      address: '10.0.0.1:80',
      zone: 'z1',
      slots: 4,
      isLeaving: false,
      remainingMs: undefined,
      startedAt: 17,
      sequence: 3,
      softwareVersion: 'v1.2',
      models: ['m'],
      adapters: [
        { adapter: 'm/a1', version: 2 },
        { adapter: 'm/a2', version: undefined },
      ],
    });
  });

  it('decodes the remaining time of a draining engine', () => {
    const entry = { ...ENTRY, state: 'draining', remainingMs: 2_000 };
    expect(decodeEndpoint('i-1', entry)).toMatchObject({ isLeaving: true, remainingMs: 2_000 });
  });

  it.each<[string, unknown]>([
    ['a string', 'text'],
    ['undefined', undefined],
    ['a missing field', { ...ENTRY, service: undefined }],
    ['a field of another type', { ...ENTRY, slots: '4' }],
    ['a software version of another type', { ...ENTRY, version: 1 }],
    ['an unknown state', { ...ENTRY, state: 'resting' }],
    ['an invalid address', { ...ENTRY, address: 'somewhere' }],
  ])('rejects %s', (_name, value) => {
    expect(decodeEndpoint('i-1', value)).toBeUndefined();
  });
});

describe('decodeAdapterReport', () => {
  it('separates resident adapters from those that are being loaded', () => {
    const report = { seq: 4, models: ENTRY.models, coming: ['m/a3@1'] };
    expect(decodeAdapterReport(report)).toMatchObject({
      sequence: 4,
      models: ['m'],
      adapters: [{ adapter: 'm/a1' }, { adapter: 'm/a2' }],
      loading: ['m/a3'],
    });
  });

  it('rejects a report without a sequence', () => {
    expect(decodeAdapterReport({ models: [] })).toBeUndefined();
  });
});

describe('decodeRouting', () => {
  const ROUTE = {
    name: 'r',
    host: 'h.example',
    pathPrefix: '/p/',
    kind: 'streaming',
    timeoutMs: 5_000,
    goalLatencyMs: 1_000,
    priority: 1,
    service: 's',
    attempts: 2,
    resumable: true,
    gapAimMs: 400,
  };
  const STATE = {
    version: 7,
    routes: [ROUTE],
    services: [{ name: 's', healthPath: '/health', connLimit: 9 }],
    limits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
  };

  it.each<[string, object, object]>([
    ['a stream', {}, { kind: 'stream', isResumable: true, pauseGoalMs: 400 }],
    ['a single service', {}, { targets: [{ service: 's', weight: 1 }] }],
    [
      'a split',
      { split: [{ service: 'b', weight: 3 }] },
      { targets: [{ service: 'b', weight: 3 }] },
    ],
    ['an unknown kind, which must not be retried', { kind: 'odd' }, { kind: 'unsafe' }],
    ['a route without attempts', { attempts: undefined }, { attempts: 1 }],
  ])('decodes %s', (_name, change, expected) => {
    const table = decodeRouting({ ...STATE, routes: [{ ...ROUTE, ...change }] });
    expect(table).toMatchObject({ version: 7, routes: [expected] });
  });

  it('derives the caller idle timeout of a stream from its longest goal', () => {
    const table = decodeRouting(STATE);
    const [route] = Array.isArray(table) ? [] : table.routes;
    expect(route === undefined ? undefined : getCallerIdleTimeoutMs(route)).toBe(4_000);
  });

  it('names the invalid field', () => {
    expect(decodeRouting({ ...STATE, version: 'x' })).toMatchObject([{ path: ['version'] }]);
  });
});

describe('tenants', () => {
  const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const STATE = { version: 7, routes: [], services: [], limits: LIMITS };
  const TENANT = { name: 't1', apiKeys: ['k1'], unit: 'token_stream', ratePerS: 5, burst: 9 };

  it('hold digests in place of their keys', () => {
    const table = decodeRouting({ ...STATE, tenants: [TENANT] });
    const [tenant] = Array.isArray(table) ? [] : (table.tenants ?? []);
    expect(tenant).toMatchObject({ name: 't1', unit: 'token', ratePerS: 5, burst: 9 });
    expect(tenant?.keyDigests).toEqual([getKeyDigest('k1')]);
    expect(JSON.stringify(table)).not.toContain('k1');
  });

  it.each<[string, object[] | undefined, unknown]>([
    ['none', undefined, null],
    ['no limit', [{ name: 't', apiKeys: ['k'] }], [{ unit: 'request', ratePerS: 0, burst: 0 }]],
  ])('may have %s', (_name, tenants, expected) => {
    expect(decodeRouting({ ...STATE, tenants })).toMatchObject({ tenants: expected });
  });

  // Guards against a configuration that is taken in part.
  it.each<[string, object[], PropertyKey[]]>([
    ['an unknown unit', [{ ...TENANT, unit: 'bytes' }], ['tenants', 0, 'unit']],
    ['a negative rate', [{ ...TENANT, ratePerS: -1 }], ['tenants', 0, 'ratePerS']],
    ['an empty name', [{ ...TENANT, name: '' }], ['tenants', 0, 'name']],
    ['an empty key', [{ ...TENANT, apiKeys: [''] }], ['tenants', 0, 'apiKeys', 0]],
    ['a name twice', [TENANT, { ...TENANT, apiKeys: [] }], ['tenants', 1, 'name']],
    ['a shared key', [TENANT, { ...TENANT, name: 't2' }], ['tenants', 1, 'apiKeys', 0]],
  ])('are refused as a whole for %s', (_name, tenants, path) => {
    const problems = decodeRouting({ ...STATE, tenants });
    expect(problems).toMatchObject([{ path }]);
    expect(JSON.stringify(problems)).not.toContain('k1');
  });
});

describe('the key of a request', () => {
  it.each<[string, string[], string | undefined]>([
    ['a bearer key', ['Authorization', 'Bearer k1'], 'k1'],
    ['another case of the scheme', ['authorization', 'bearer k1'], 'k1'],
    ['none', [], undefined],
    ['an empty one', ['Authorization', ''], undefined],
    ['a scheme without a key', ['Authorization', 'Bearer '], undefined],
    ['another scheme', ['Authorization', 'Basic k1'], undefined],
    ['a key without a scheme', ['Authorization', 'k1'], undefined],
    ['two keys', ['Authorization', 'Bearer k1', 'Authorization', 'Bearer k2'], undefined],
    ['the same key twice', ['Authorization', 'Bearer k1', 'Authorization', 'Bearer k1'], undefined],
    ['a list of keys', ['Authorization', 'Bearer k1,k2'], undefined],
  ])('%s', (_name, headers, key) => {
    const expected = key === undefined ? undefined : getKeyDigest(key);
    expect(headerLabels.readRequestLabels(headers).keyDigest).toBe(expected);
  });

  // Guards against engines that learn a key, or take a caller's word for its tenant.
  it.each<[string, string | undefined, string[]]>([
    ['gives way to the tenant', 't1', ['x-other', '1', 'tenant', 't1']],
    ['is removed on a public route', '', ['x-other', '1']],
    [
      'is passed on without tenants',
      undefined,
      ['Authorization', 'Bearer k1', 'Tenant', 'forged', 'x-other', '1'],
    ],
  ])('%s', (_name, tenant, expected) => {
    const headers = ['Authorization', 'Bearer k1', 'Tenant', 'forged', 'x-other', '1'];
    const forwarded = headerLabels.getForwardHeaders(headers, {
      endpoint: 'e1',
      remainingMs: 1,
      priority: undefined,
      version: undefined,
      resumeAfter: undefined,
      tenant,
    });
    const set = ['deadline-ms', '1', 'expect-instance', 'e1'];
    expect(forwarded.filter((text) => !set.includes(text))).toEqual(
      expected.filter((text) => !set.includes(text)),
    );
  });
});

describe('headerLabels', () => {
  it.each<[string, string[], object]>([
    [
      'a request for an adapter',
      ['Model', 'm/a1', 'Token-Count', '100,20'],
      { adapter: 'm/a1', promptTokens: 100, outputTokens: 20 },
    ],
    ['a request for the base model', ['Model', 'm'], { model: 'm', adapter: '', promptTokens: 0 }],
    [
      'a plain request',
      ['Attempt-Id', 'a', 'Deadline-Ms', '250'],
      { attemptId: 'a', model: '', waitMs: 250 },
    ],
    [
      'prompt parts, without the last, which no other request has',
      ['Prompt-Prefix', '5c1e07a2:800, 91bd3f06:410,e4402b7d:250'],
      { promptParts: ['5c1e07a2', '91bd3f06'] },
    ],
    ['a prompt of one part', ['Prompt-Prefix', '5c1e07a2:800'], { promptParts: [] }],
    ['malformed prompt parts', ['Prompt-Prefix', '5c1e07a2:800,,:1'], { promptParts: [] }],
    ['a new request', ['Last-Event-Id', '3'], { resumedAttempt: undefined }],
    ['a resumed stream', ['Resumes', 'a1'], { resumedAttempt: 'a1' }],
    ['a resumed stream without a name', ['Resumes', ''], { resumedAttempt: '' }],
    ['a stream resumed twice', ['Resumes', 'a1', 'resumes', 'a2'], { resumedAttempt: 'a1, a2' }],
    [
      'invalid numbers',
      ['Token-Count', 'x,-1', 'Deadline-Ms', 'soon'],
      { promptTokens: 0, outputTokens: 0, waitMs: Infinity },
    ],
  ])('reads %s', (_name, headers, expected) => {
    expect(headerLabels.readRequestLabels(headers)).toMatchObject(expected);
  });

  it.each<[string, number, string[], string | undefined]>([
    [
      'an engine without the adapter',
      421,
      ['Instance-Id', 'e1', 'Not-Executed', '1'],
      'adapterMissing',
    ],
    ['another engine at the address', 421, ['Instance-Id', 'e2'], 'otherEndpoint'],
    ['a full engine', 503, ['Not-Executed', '1'], 'full'],
    ['a failure of the engine', 503, [], undefined],
    ['a success', 200, ['Response-Seal', 's'], undefined],
  ])('reports whether %s ran the request', (_name, status, headers, expected) => {
    expect(headerLabels.readResponseLabels(status, headers, 'e1').notRun).toBe(expected);
  });

  it.each<[string, string[], number | 'none' | 'malformed']>([
    ['no limit', [], 'none'],
    ['a whole number', ['Server-Limit', '3'], 3],
    ['a fraction', ['server-limit', '0.3333333333333333'], 0.3333333333333333],
    ['zero', ['Server-Limit', '0'], 0],
    ['an empty value', ['Server-Limit', ''], 'malformed'],
    ['text', ['Server-Limit', 'few'], 'malformed'],
    ['a negative number', ['Server-Limit', '-1'], 'malformed'],
    ['a number that is not finite', ['Server-Limit', 'Infinity'], 'malformed'],
    ['a hexadecimal number', ['Server-Limit', '0x10'], 'malformed'],
    ['an exponent', ['Server-Limit', '1e3'], 'malformed'],
    ['a very long number', ['Server-Limit', '9'.repeat(400)], 'malformed'],
    ['the same number twice', ['Server-Limit', '2', 'server-limit', '2'], 2],
    ['two numbers', ['Server-Limit', '5', 'Server-Limit', '2'], 2],
    ['a number and text', ['Server-Limit', '5', 'Server-Limit', 'x'], 'malformed'],
  ])('reads a limit: %s', (_name, headers, expected) => {
    const { limit } = headerLabels.readResponseLabels(200, headers, 'e1').notice;
    expect(limit.type === 'rate' ? limit.perS : limit.type).toBe(expected);
  });

  it.each<[string, string[], number | 'none' | 'malformed']>([
    ['nothing', [], 'none'],
    ['a number', ['Server-Brittle', '3'], 3],
    ['two numbers', ['server-brittle', '5', 'Server-Brittle', '2'], 2],
    ['text', ['Server-Brittle', 'very'], 'malformed'],
    ['an empty value', ['Server-Brittle', ''], 'malformed'],
  ])('reads that an engine is brittle: %s', (_name, headers, expected) => {
    const { brittle } = headerLabels.readResponseLabels(200, headers, 'e1').notice;
    expect(brittle.type === 'brittle' ? brittle.maxRefusalsPerS : brittle.type).toBe(expected);
  });

  it.each<[string, string[], 'none' | 'leaving' | 'malformed']>([
    ['nothing', [], 'none'],
    ['1', ['Server-Leaving', '1'], 'leaving'],
    ['0', ['server-leaving', '0'], 'none'],
    ['1 twice', ['Server-Leaving', '1', 'Server-Leaving', '1'], 'leaving'],
    ['both', ['Server-Leaving', '0', 'Server-Leaving', '1'], 'leaving'],
    ['text', ['Server-Leaving', 'soon'], 'malformed'],
    ['an empty value', ['Server-Leaving', ''], 'malformed'],
  ])('reads that an engine leaves: %s', (_name, headers, expected) => {
    for (const status of [200, 421, 429, 500, 503])
      expect(headerLabels.readResponseLabels(status, headers, 'e1').notice.leaving.type).toBe(
        expected,
      );
  });

  const DATE = 'Fri, 04 Dec 2026 12:00:00 GMT';
  it.each<[string, number, string[], number | 'none' | 'malformed']>([
    ['nothing', 503, [], 'none'],
    ['seconds', 503, ['Retry-After', '5'], 5_000],
    ['seconds of 429', 429, ['Retry-After', '5'], 5_000],
    ['a fraction', 503, ['retry-after', '0.25'], 250],
    ['zero', 503, ['Retry-After', '0'], 0],
    ['nothing of another status', 500, ['Retry-After', '5'], 'none'],
    ['text', 503, ['Retry-After', 'later'], 'malformed'],
    ['an empty value', 503, ['Retry-After', ''], 'malformed'],
    ['a negative number', 503, ['Retry-After', '-5'], 'malformed'],
    ['a huge number', 503, ['Retry-After', '9'.repeat(400)], Number.MAX_SAFE_INTEGER],
    ['two numbers', 503, ['Retry-After', '2', 'Retry-After', '5'], 5_000],
    ['a number and text', 503, ['Retry-After', '2', 'Retry-After', 'x'], 'malformed'],
    ['a date', 503, ['Date', DATE, 'Retry-After', 'Fri, 04 Dec 2026 12:00:07 GMT'], 7_000],
    ['a date in the past', 503, ['Date', DATE, 'Retry-After', 'Fri, 04 Dec 2026 11:00:00 GMT'], 0],
    ['a date without that of the answer', 503, ['Retry-After', DATE], 'malformed'],
    [
      'an impossible date',
      503,
      ['Date', DATE, 'Retry-After', 'Fri, 99 Dec 2026 12:00:00 GMT'],
      'malformed',
    ],
  ])(
    'reads the time of an engine that turns requests away: %s',
    (_name, status, headers, expected) => {
      const { pause } = headerLabels.readResponseLabels(status, headers, 'e1').notice;
      expect(pause.type === 'pause' ? pause.ms : pause.type).toBe(expected);
    },
  );
});
