import { connect, createServer, type AddressInfo } from 'node:net';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { AcceptBacklog } from '../../src/eventLoop/acceptBacklog.ts';
import { ACCEPT_OVERLOAD_MS } from '../../src/eventLoop/constants.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const CONNECTIONS = 20;

function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Opens connections at once; returns whether the backlog was overloaded as each one was accepted. */
async function acceptAll(
  workMs: number,
): Promise<{ backlog: AcceptBacklog; overloaded: boolean[] }> {
  const backlog = AcceptBacklog.create();
  const overloaded: boolean[] = [];
  const server = createServer((socket) => {
    backlog.recordConnection();
    overloaded.push(backlog.isOverloaded);
    socket.destroy();
    block(workMs);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(() => new Promise((resolve) => server.close(() => resolve())));
  const { port } = server.address() as AddressInfo;
  for (let count = 0; count < CONNECTIONS; count++)
    connect(port, '127.0.0.1').on('error', () => undefined);
  await nextIteration();
  block(50);
  await waitUntil(() => overloaded.length === CONNECTIONS && !backlog.isWaiting);
  return { backlog, overloaded };
}

// Guards against a host that accepts connections only after their callers have left.
it('connections that wait for long are an overload, which ends once none waits', async () => {
  const { backlog, overloaded } = await acceptAll((2 * ACCEPT_OVERLOAD_MS) / CONNECTIONS);
  expect(overloaded[0]).toBe(false);
  expect(overloaded.at(-1)).toBe(true);
  expect(backlog.isOverloaded).toBe(false);
});

it('many connections that are accepted soon are none', async () => {
  const { overloaded } = await acceptAll(1);
  expect(overloaded).toEqual(Array(CONNECTIONS).fill(false));
});
