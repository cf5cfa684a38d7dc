import { connect, createServer, type AddressInfo } from 'node:net';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { AcceptBacklog } from '../../src/eventLoop/acceptBacklog.ts';
import { ACCEPT_OVERLOAD_MS, MIN_OVERLOAD_CONNECTIONS } from '../../src/eventLoop/constants.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const CONNECTIONS = 2 * MIN_OVERLOAD_CONNECTIONS;

function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Opens connections at once; returns whether the backlog was overloaded as each one was accepted. */
async function acceptAll(
  workMs: number,
  connections = CONNECTIONS,
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
  for (let count = 0; count < connections; count++)
    connect(port, '127.0.0.1').on('error', () => undefined);
  await nextIteration();
  block(50);
  await waitUntil(() => overloaded.length === connections && !backlog.isWaiting);
  return { backlog, overloaded };
}

// Guards against a host that accepts connections only after their callers have left.
it('connections that wait for long are an overload, which ends once none waits', async () => {
  const { backlog, overloaded } = await acceptAll((2 * ACCEPT_OVERLOAD_MS) / CONNECTIONS);
  expect(overloaded[0]).toBe(false);
  expect(overloaded.at(-1)).toBe(true);
  expect(backlog.isOverloaded).toBe(false);
});

it.each([
  ['many connections that are accepted soon', 1, CONNECTIONS],
  ['a few connections that are accepted slowly', ACCEPT_OVERLOAD_MS / 4, 10],
])('%s are none', async (_name, workMs, connections) => {
  const { overloaded } = await acceptAll(workMs, connections);
  expect(overloaded).toEqual(Array(connections).fill(false));
});
