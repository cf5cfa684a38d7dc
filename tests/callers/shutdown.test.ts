import { once } from 'node:events';
import { connect } from 'node:net';
import { expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { expectFailure, startEdge } from '../helpers/edge.ts';
import { getText, until } from '../support.ts';

const BODY = { model: 'order-status@v2', prompt: 'x', max_tokens: 300 };

// A graceful shutdown that cuts streams, keeps callers on the host, or waits for idle connections.
it('ends streams whole, tells callers to reconnect and waits for no unused connection', async () => {
  const { address, call, host, stop } = await startEdge({ FIREFLYWICK_LAME_DUCK: '200ms' });
  const [ip, port] = address.split(':');
  const unused = connect(Number(port), ip);
  await once(unused, 'connect');
  const closed = once(unused, 'close');
  let seen = '';
  const stream = call({
    body: JSON.stringify({ ...BODY, stream: true }),
    onData: (text) => (seen += text),
  });
  await until(() => seen.includes('data: '));
  const stopped = stop();
  const accepted = await call({ body: JSON.stringify({ ...BODY, max_tokens: 2 }) });
  expect([accepted.status, accepted.headers.connection]).toEqual([200, 'close']);
  await until(() => host.state.phase === 'draining');
  const refused = await call({ body: JSON.stringify(BODY) });
  expectFailure(refused, 'shutting_down', /this host is shutting down/);
  expect(refused.headers.connection).toBe('close');
  expect(host.state.requests.inFlight.size).toBe(1);
  const { body, isWhole } = await stream;
  const chunks = body.split('\n\n').map((event) => event.replace('data: ', ''));
  expect([isWhole, chunks.slice(-2)]).toEqual([true, ['[DONE]', '']]);
  expect(getText(chunks.slice(0, -2))).toBe(getExpectedText({ ...BODY, priority: 0 }));
  await stopped;
  await closed;
});
