import { describe, expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { expectErrorResponse, useEntryHost } from '../helpers/entryHostFixture.ts';
import { waitUntil } from '../support.ts';

const getFixture = useEntryHost();
const ASYNC = { prefer: 'respond-async' };
const OTHER_FIRM = { authorization: 'Bearer rival-caller' };

function readDraft(path: string, headers: Record<string, string> = {}, method = 'GET') {
  return getFixture().sendAuthorized({ method, path, headers });
}

describe('drafts', () => {
  it('are accepted, can be read repeatedly and are deleted', async () => {
    const request = { model: 'session-summary', prompt: 'hall 3', max_tokens: 200 };
    const { sendAuthorized } = getFixture();
    const accepted = await sendAuthorized({ headers: ASYNC, body: JSON.stringify(request) });
    expect(accepted.status).toBe(202);
    const path = accepted.headers.location ?? '';
    expect(path).toMatch(/^\/v1\/drafts\/[0-9a-f-]{36}$/);
    expect(accepted.headers['preference-applied']).toBe('respond-async');
    const early = await readDraft(path);
    expect([early.status, early.headers['retry-after']]).toEqual([202, '1']);
    expectErrorResponse(await readDraft(path, OTHER_FIRM), 'not_found', /draft/);
    await waitUntil(async () => (await readDraft(path)).status === 200);
    for (let time = 0; time < 3; time++) {
      const { status, headers, body } = await readDraft(path);
      expect([status, headers['x-adapter'], headers['x-adapter-version']]).toEqual([
        200,
        'session-summary',
        'v2',
      ]);
      const { choices } = JSON.parse(body) as { choices: { text: string }[] };
      const expected = getExpectedText({ ...request, model: 'session-summary@v2', priority: 0 });
      expect(choices[0]?.text).toBe(expected);
    }
    expectErrorResponse(await readDraft(path, OTHER_FIRM, 'DELETE'), 'not_found', /draft/);
    expect((await readDraft(path, {}, 'DELETE')).status).toBe(200);
    expectErrorResponse(await readDraft(path), 'not_found', /draft/);
  });

  it.each([
    ['an unknown adapter', { model: 'nothing', prompt: 'x' }, 'unknown_adapter', /"nothing"/],
    ['an unknown version', { model: 'order-status@v9', prompt: 'x' }, 'unknown_version', /"v9"/],
    ['no prompt', { model: 'order-status' }, 'bad_request', /"prompt"/],
  ] as const)('are rejected with %s', async (_name, body, kind, message) => {
    const received = await getFixture().sendAuthorized({
      headers: ASYNC,
      body: JSON.stringify(body),
    });
    expectErrorResponse(received, kind, message);
  });
});

describe('services', () => {
  const path = '/services/bookings/rooms';
  const book = (key: string, body = 'room 1') =>
    getFixture().sendAuthorized({ path, headers: { 'idempotency-key': key }, body });

  it('replays the recorded response when a call is retried', async () => {
    const first = await book('r1');
    const again = await book('r1');
    expect([first.status, again.status, again.body]).toEqual([200, 200, first.body]);
    expect(first.headers['idempotency-replayed']).toBeUndefined();
    expect(again.headers['idempotency-replayed']).toBe('true');
    expect(getFixture().service.records).toHaveLength(1);
  });

  it('rejects a retry of a call in flight, and another call with the same key', async () => {
    const { service } = getFixture();
    service.setFaults({ slowMs: 500 });
    const first = book('r2');
    await waitUntil(() => getFixture().host.state.actions.inFlight.size === 1);
    expectErrorResponse(await book('r2'), 'in_progress', /"r2" is in progress/);
    expectErrorResponse(await book('r2', 'room 2'), 'key_reused', /"r2" was used/);
    expect((await first).status).toBe(200);
    service.setFaults({ slowMs: 0 });
    expectErrorResponse(await book('r2', 'room 2'), 'key_reused', /"r2" was used/);
    expect(service.records).toHaveLength(1);
  });

  it('requires an idempotency key only for calls that must not be repeated', async () => {
    const { sendAuthorized, service } = getFixture();
    expectErrorResponse(
      await sendAuthorized({ path, body: 'x' }),
      'key_missing',
      /Idempotency-Key/,
    );
    const blank = await sendAuthorized({ path, body: 'x', headers: { 'idempotency-key': 'a b' } });
    expectErrorResponse(blank, 'bad_request', /Idempotency-Key must be/);
    expect(service.records).toEqual([]);
    for (let time = 0; time < 2; time++) {
      expect((await sendAuthorized({ method: 'GET', path })).status).toBe(200);
    }
    expect(service.records).toHaveLength(2);
    expectErrorResponse(
      await sendAuthorized({ path: '/services/desk/x' }),
      'unknown_service',
      /"desk"/,
    );
  });
});
