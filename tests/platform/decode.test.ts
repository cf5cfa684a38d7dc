import { describe, expect, it } from 'vitest';
import { getCallerIdleTimeoutMs } from '../../src/forwards/forwardAdmission.ts';
import { decodeEndpoint, decodeAdapterReport } from '../../platform/endpoints.ts';
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
    const [route] = typeof table === 'string' ? [] : table.routes;
    expect(route === undefined ? undefined : getCallerIdleTimeoutMs(route)).toBe(4_000);
  });

  it('names the invalid field', () => {
    expect(decodeRouting({ ...STATE, version: 'x' })).toContain('version');
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
