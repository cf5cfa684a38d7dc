import { once } from 'node:events';
import { connect } from 'node:net';
import { expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { expectErrorResponse, startEntryHost } from '../helpers/entryHostFixture.ts';
import { getChunkText, waitUntil } from '../support.ts';

const BODY = { model: 'order-status@v2', prompt: 'x', max_tokens: 300 };

// Guards against a graceful shutdown that cuts off streams, keeps callers on the host, or waits for
// idle connections.
it('completes streams, makes callers reconnect and does not wait for unused connections', async () => {
  const { address, sendAuthorized, host, stop } = await startEntryHost({
    FIREFLYWICK_LAME_DUCK: '200ms',
  });
  const [ip, port] = address.split(':');
  const unused = connect(Number(port), ip);
  await once(unused, 'connect');
  const closed = once(unused, 'close');
  let seen = '';
  const stream = sendAuthorized({
    body: JSON.stringify({ ...BODY, stream: true }),
    onData: (text) => (seen += text),
  });
  await waitUntil(() => seen.includes('data: '));
  const stopped = stop();
  const accepted = await sendAuthorized({ body: JSON.stringify({ ...BODY, max_tokens: 2 }) });
  expect([accepted.status, accepted.headers.connection]).toEqual([200, 'close']);
  await waitUntil(() => host.state.phase === 'draining');
  const refused = await sendAuthorized({ body: JSON.stringify(BODY) });
  expectErrorResponse(refused, 'shutting_down', /this host is shutting down/);
  expect(refused.headers.connection).toBe('close');
  expect(host.state.requests.inFlight.size).toBe(1);
  const { body, isBodyComplete } = await stream;
  const chunks = body.split('\n\n').map((event) => event.replace('data: ', ''));
  expect([isBodyComplete, chunks.slice(-2)]).toEqual([true, ['[DONE]', '']]);
  expect(getChunkText(chunks.slice(0, -2))).toBe(getExpectedText({ ...BODY, priority: 0 }));
  await stopped;
  await closed;
});
