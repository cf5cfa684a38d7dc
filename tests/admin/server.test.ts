import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { getDraftSummary } from '../../src/drafts/draftRows.ts';
import type { DraftRow } from '../../src/drafts/types.ts';
import { newSuspect } from '../../src/suspects/mergeSuspects.ts';
import { publishSuspects } from '../../src/suspects/suspectReports.ts';
import { newAdminServer } from './fixture.ts';

const INTENT = 'shares: [{ firm: atlas, share: 0.5 }]';
const { cluster, server } = newAdminServer();
let url = '';
beforeAll(async () => {
  url = `http://127.0.0.1:${await server.start()}`;
});
afterAll(() => server.stop());

async function call(method: string, path: string, body?: string, key = 'op-key') {
  const headers = { authorization: `Bearer ${key}` };
  const response = await fetch(url + path, { method, headers, body });
  const text = await response.text();
  return { status: response.status, text, headers: response.headers };
}

async function callJson<T>(method: string, path: string, body?: string): Promise<T> {
  return JSON.parse((await call(method, path, body)).text) as T;
}

describe('operators API', () => {
  it.each([
    ['GET', '/v1/configuration', undefined, 'caller-key', 401, 'unauthorized'],
    ['GET', '/v1/configuration', undefined, 'wrong', 401, 'unauthorized'],
    ['POST', '/v1/plans', 'share: 1', 'op-key', 422, '"details":["intent: Unrecognized key'],
    ['POST', '/v1/plans', INTENT.replace('0.5', '7'), 'op-key', 422, 'shares[0].share'],
    ['POST', '/v1/plans', `# ${'x'.repeat(2_000)}`, 'op-key', 413, 'body_too_large'],
    ['POST', '/v1/plans', 'leaving: [{ endpoint: e }]', 'op-key', 422, 'does not exist'],
    ['GET', '/v1/plans/none', undefined, 'op-key', 404, 'not_found'],
    ['GET', '/v1/plans/%2e%2e%2fhead', undefined, 'op-key', 400, 'bad_request'],
    ['GET', '/v1/drafts?state=lost', undefined, 'op-key', 400, 'queued, running'],
    ['GET', '/v1/audit?limit=1000', undefined, 'op-key', 400, 'from 1 to 200'],
    ['DELETE', '/v1/configuration', undefined, 'op-key', 405, 'method_not_allowed'],
    ['GET', '/v1/none', undefined, 'op-key', 404, 'not_found'],
  ])('%s %s %s with key %s is refused', async (method, path, body, key, status, text) => {
    const answer = await call(method, path, body, key);
    expect(answer.text).toContain(text);
    expect(answer.status).toBe(status);
  });

  it('plans, confirms and shows what was changed', async () => {
    expect((await call('GET', '/readyz', undefined, '')).status).toBe(503);
    const plan = await callJson<{ id: string }>('POST', '/v1/plans', INTENT);
    expect(await callJson('GET', `/v1/plans/${plan.id}`)).toEqual(plan);
    const confirmed = { plan: plan.id, revision: 1 };
    expect(await callJson('POST', `/v1/plans/${plan.id}/confirm`)).toEqual(confirmed);
    expect(await callJson('POST', `/v1/plans/${plan.id}/confirm`)).toEqual(confirmed);
    expect(await callJson('GET', '/v1/configuration')).toMatchObject({ revision: 1 });
    expect(await callJson('GET', '/v1/hosts')).toMatchObject({
      hosts: [{ host: 'h1', configurationRevision: 1 }],
    });
    await callJson('POST', `/v1/plans/${(await newPlan(0.6)).id}/confirm`);
    const first = await callJson<{ next: string }>('GET', '/v1/audit?after=0&limit=1');
    expect(first).toMatchObject({ entries: [{ operator: 'olga', plan: plan.id, revision: 1 }] });
    const second = await callJson('GET', `/v1/audit?limit=1&after=${first.next}`);
    expect(second).toMatchObject({ entries: [{ revision: 2 }] });
  });

  it.each([
    ['/healthz', 200, 'ok'],
    ['/readyz', 200, 'ready'],
    ['/metrics', 200, '# TYPE fireflywick_requests_total counter'],
  ])('answers %s without a key', async (path, status, text) => {
    cluster.advance(1_000);
    const answer = await call('GET', path, undefined, '');
    expect(answer.text).toContain(text);
    expect(answer.status).toBe(status);
  });
});

describe('drafts and suspects', () => {
  const draft: DraftRow = {
    id: 'd1',
    firm: 'atlas',
    caller: 'desk',
    path: '/v1/completions',
    adapter: 'a',
    version: 'v1',
    bodyHash: 'x',
    maxTokens: 1,
    body: { type: 'inline', text: '{}' },
    state: 'poison',
    attempts: 5,
    fence: 1,
    host: 'h9',
    incarnation: 1,
    acceptedBy: 'h9/1',
  };

  it('lists, retries and deletes drafts and records who did it', async () => {
    cluster.rows.set('draft/d1', { value: draft, version: 'x' });
    cluster.rows.set('draft-state/poison/d1', { value: getDraftSummary(draft), version: 'y' });
    const poison = '/v1/drafts?state=poison';
    expect(await callJson('GET', poison)).toMatchObject({ drafts: [{ id: 'd1', attempts: 5 }] });
    expect(await callJson('POST', '/v1/drafts/d1/retry')).toEqual({ type: 'queued' });
    expect(await callJson('GET', poison)).toEqual({ drafts: [] });
    expect(await callJson('DELETE', '/v1/drafts/d1')).toEqual({ type: 'deleted' });
    expect((await call('DELETE', '/v1/drafts/d1')).status).toBe(404);
    const { entries } = await callJson<{ entries: unknown[] }>(
      'GET',
      '/v1/audit?after=000000000002',
    );
    expect(entries.slice(0, 2)).toMatchObject([
      { operator: 'olga', lines: ['retry draft d1'] },
      { operator: 'olga', lines: ['delete draft d1'] },
    ]);
  });

  it('clears a suspect, so that its request may run again', async () => {
    const suspect = { ...newSuspect('f1'), crashes: ['e1@b1'], isQuarantined: true };
    publishSuspects(cluster.getState('h1'), [suspect], 0);
    expect(await callJson('GET', '/v1/suspects')).toMatchObject({
      suspects: [{ attribute: 'f1', isQuarantined: true }],
    });
    expect(await callJson('DELETE', '/v1/suspects/f1')).toEqual({ attribute: 'f1' });
    expect(await callJson('GET', '/v1/suspects')).toEqual({ suspects: [] });
    expect((await call('DELETE', '/v1/suspects/f2')).status).toBe(404);
  });

  // Guards against a command that is executed although its audit entry could not be written.
  it('executes no command whose audit entry cannot be written', async () => {
    cluster.rows.set('draft/d2', { value: { ...draft, id: 'd2' }, version: 'x' });
    cluster.fault = (request) => (request.type === 'write' ? 'down' : undefined);
    expect((await call('DELETE', '/v1/drafts/d2')).status).toBe(503);
    cluster.fault = () => undefined;
    expect(cluster.rows.has('draft/d2')).toBe(true);
  });
});

function newPlan(share: number): Promise<{ id: string }> {
  return callJson('POST', '/v1/plans', INTENT.replace('0.5', String(share)));
}
