import { expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { getRawHead, RawEndpoint } from '../helpers/rawEndpoint.ts';
import { closeAfterTest, startStandIn } from '../support.ts';

// Guards against headers of services that the entry host cannot write into the response to its caller.
it('decodes header values of a response octet by octet', async () => {
  const endpoint = RawEndpoint.create((request) => [
    `${getRawHead(request, 'etag: "\xc3\xa9\xeb"', 'content-length: 2')}ok`,
  ]);
  const client = closeAfterTest(HttpClient.create());
  const answer = await client.call({
    address: await startStandIn(endpoint),
    method: 'GET',
    path: '/',
    timeoutMs: 2_000,
  });
  expect(answer).toMatchObject({ status: 200, headers: { etag: '"\xc3\xa9\xeb"' } });
});
