import { describe, expect, it } from 'vitest';
import { expectErrorResponse, useEntryHost } from '../helpers/entryHostFixture.ts';

const getFixture = useEntryHost();

describe('paths of service calls', () => {
  // A path or query that is decoded on the way can mean something else to the service.
  it.each([
    ['/services/bookings/rooms/a%2Fb', '/rooms/a%2Fb'],
    ['/services/bookings/a%20b?q=%26&q=a+b', '/a%20b?q=%26&q=a+b'],
    ['/services/bookings//rooms//1', '//rooms//1'],
    ['/services/bookings/rooms/', '/rooms/'],
    ['/services/bookings/', '/'],
    ['/services/bookings', '/'],
    ['/services/bookings?x', '/?x'],
    ['/services/bookings/r;v=1?a=/../b?c', '/r;v=1?a=/../b?c'],
    ['/services/bookings/%E5%8F%B0/..a', '/%E5%8F%B0/..a'],
    ['/services/bookings/%252e%252e/x', '/%252e%252e/x'],
    ['/services/bookings/./x', '/./x', 'dotted'],
  ])('forwards %s as sent', async (path, target, key = '') => {
    const { sendAuthorized, service } = getFixture();
    const headers: Record<string, string> = key === '' ? {} : { 'idempotency-key': key };
    const received = await sendAuthorized({ method: 'GET', path, headers });
    expect(received.status).toBe(200);
    expect(service.records.map((record) => record.target)).toEqual([target]);
  });

  // Guards against paths that leave the part of the server that is configured as the service.
  it.each([
    ['/services/bookings/../admin', /"\.\." segment/],
    ['/services/bookings/a/%2e%2E/%2e./x', /"\.\." segment/],
    ['/services/bookings/a%2f..%2fx', /"\.\." segment/],
    ['/services/bookings/a%5c..\\x', /"\.\." segment/],
    ['/services/bookings/..;x/y', /"\.\." segment/],
    ['/services/bookings/a#b', /not of the form/],
    ['/services/bookings/100%', /percent-encoded/],
  ])('rejects %s', async (path, message) => {
    const { sendAuthorized, service } = getFixture();
    expectErrorResponse(await sendAuthorized({ method: 'GET', path }), 'bad_request', message);
    expect(service.records).toEqual([]);
  });

  // Guards against calls that differ only in their encoding being treated as the same call.
  it('distinguishes calls with the same idempotency key by their raw path and query', async () => {
    const { sendAuthorized, service } = getFixture();
    const headers = { 'idempotency-key': 'k1' };
    const book = (path: string) =>
      sendAuthorized({ path: `/services/bookings${path}`, headers, body: 'x' });
    expect((await book('/rooms/a%2Fb?n=1')).status).toBe(200);
    for (const path of ['/rooms/a/b?n=1', '/rooms/a%2fb?n=1', '/rooms/a%2Fb?n=%31']) {
      expectErrorResponse(await book(path), 'key_reused', /"k1" was used/);
    }
    expect((await book('/rooms/a%2Fb?n=1')).headers['idempotency-replayed']).toBe('true');
    expect(service.records).toHaveLength(1);
  });
});

describe('HEAD and OPTIONS', () => {
  it('are answered without a body, and HEAD is forwarded as HEAD', async () => {
    const { sendAuthorized, service } = getFixture();
    const head = await sendAuthorized({ method: 'HEAD', path: '/services/bookings/rooms' });
    expect(head).toMatchObject({ status: 200, body: '', isBodyComplete: true });
    expect(service.records.map(({ method }) => method)).toEqual(['HEAD']);
    expect(await sendAuthorized({ method: 'HEAD', path: '/v1/models' })).toMatchObject({
      status: 200,
      body: '',
    });
    for (const [path, allow] of [
      ['/services/bookings/rooms', 'POST, GET, HEAD, DELETE, PUT, PATCH, OPTIONS'],
      ['/v1/models', 'GET, HEAD, OPTIONS'],
      ['/v1/completions', 'POST, OPTIONS'],
    ]) {
      const options = await sendAuthorized({ method: 'OPTIONS', path });
      expect([options.status, options.body, options.headers.allow]).toEqual([204, '', allow]);
    }
    const missing = await sendAuthorized({ method: 'OPTIONS', path: '/v2/models' });
    expectErrorResponse(missing, 'not_found', /\/v2\/models does not exist/);
    const wrong = await sendAuthorized({ method: 'PUT', path: '/v1/models' });
    expectErrorResponse(wrong, 'method_not_allowed', /PUT is not allowed on \/v1\/models/);
    expect(service.records).toHaveLength(1);
  });
});
