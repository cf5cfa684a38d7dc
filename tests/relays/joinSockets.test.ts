import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { AcceptBacklog } from '../../src/eventLoop/acceptBacklog.ts';
import { TurnQueue } from '../../src/eventLoop/turnQueue.ts';
import { joinSockets } from '../../src/relays/joinSockets.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const SUSPENSION_MS = 100;

async function listen(accept: (socket: Socket) => void): Promise<number> {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    accept(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(() => new Promise((resolve) => server.close(() => resolve())));
  return (server.address() as AddressInfo).port;
}

interface Relay {
  /** A connection through the relay. */
  caller: Socket;
  /** What the endpoint has received. */
  received: () => string;
  /** Most listeners that have waited at once for the endpoint to take more. */
  peakDrainListeners: () => number;
}

/** Starts a relay in front of an endpoint, which reads after `readDelayMs`. */
async function startRelay(readDelayMs = 0): Promise<Relay> {
  const turns = TurnQueue.create(AcceptBacklog.create(), (error) => expect(error).toBeUndefined());
  let received = '';
  let isJoined = false;
  let peakDrainListeners = 0;
  const endpointPort = await listen((socket) => {
    setTimeout(() => socket.on('data', (bytes) => (received += bytes.toString())), readDelayMs);
  });
  const relayPort = await listen((socket) => {
    socket.pause();
    const endpoint = connect(endpointPort, '127.0.0.1');
    endpoint.on('error', () => undefined);
    endpoint.on('newListener', () => {
      peakDrainListeners = Math.max(peakDrainListeners, endpoint.listenerCount('drain') + 1);
    });
    endpoint.once('connect', () => {
      joinSockets(socket, endpoint, turns);
      isJoined = true;
    });
  });
  const caller = connect(relayPort, '127.0.0.1');
  caller.on('error', () => undefined);
  cleanUpAfterTest(() => Promise.resolve(void caller.destroy()));
  await waitUntil(() => isJoined);
  return { caller, received: () => received, peakDrainListeners: () => peakDrainListeners };
}

/** Blocks the event loop, as a process is that was suspended. */
function suspendProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENSION_MS);
}

// Guards against requests that a late relay passes on although the host behind it has cancelled them.
describe('a relay that was suspended', () => {
  it.each(['fin', 'reset'] as const)('passes on no request that a %s cancelled', async (how) => {
    const { caller, received } = await startRelay();
    caller.write('request');
    if (how === 'fin') caller.destroy();
    else setImmediate(() => caller.resetAndDestroy());
    setImmediate(suspendProcess);
    await sleep(2 * SUSPENSION_MS);
    expect(received()).toBe('');
  });

  it('passes on the requests of hosts that still wait', async () => {
    const { caller, received } = await startRelay();
    caller.write('request');
    setImmediate(suspendProcess);
    await waitUntil(() => received() === 'request');
  });
});

// Guards against listeners that pile up, one for each part of a request that an endpoint does not read.
it('a relay waits once for an endpoint that does not read', async () => {
  const { caller, received, peakDrainListeners } = await startRelay(300);
  const request = 'x'.repeat(16 * 1024 * 1024);
  caller.write(request);
  await waitUntil(() => received().length === request.length);
  // One of the stream that passes the answers back may wait as well.
  expect(peakDrainListeners()).toBeLessThanOrEqual(2);
});
