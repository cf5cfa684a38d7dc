import { connect, createServer, type AddressInfo } from 'node:net';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { TURN_MS } from '../../src/eventLoop/constants.ts';
import { AcceptBacklog } from '../../src/eventLoop/acceptBacklog.ts';
import { TurnQueue } from '../../src/eventLoop/turnQueue.ts';
import { cleanUpAfterTest } from '../support.ts';

const REQUESTS = 50;

function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

function newQueue(): { queue: TurnQueue; errors: unknown[] } {
  const errors: unknown[] = [];
  return { queue: TurnQueue.create(AcceptBacklog.create(), (error) => errors.push(error)), errors };
}

// Guards against requests that are sent on although the end of their caller's connection has arrived.
it('runs a job only after the end of a connection is read that had arrived when it was queued', async () => {
  const { queue } = newQueue();
  const endedBeforeJob: boolean[] = [];
  const server = createServer((socket) => {
    socket.once('data', () => queue.push('take', () => endedBeforeJob.push(socket.readableEnded)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(() => new Promise((resolve) => server.close(() => resolve())));
  const { port } = server.address() as AddressInfo;
  for (let count = 0; count < REQUESTS; count++) connect(port, '127.0.0.1').end('request');
  // The connections are opened, written to and closed before this process reads any of them.
  await nextIteration();
  block(20);
  while (endedBeforeJob.length < REQUESTS) await nextIteration();
  expect(endedBeforeJob).toEqual(Array(REQUESTS).fill(true));
});

describe('jobs', () => {
  it('that send run before those that take, and each kind in order', async () => {
    const { queue } = newQueue();
    const order: string[] = [];
    for (const name of ['t1', 't2']) queue.push('take', () => order.push(name));
    for (const name of ['s1', 's2']) queue.push('send', () => order.push(name));
    await queue.wait('take');
    expect(order).toEqual(['s1', 's2', 't1', 't2']);
  });

  it('run at once in a turn and later otherwise', async () => {
    const { queue } = newQueue();
    const order: string[] = [];
    queue.run('send', () => {
      queue.run('send', () => order.push('inner'));
      order.push('outer');
    });
    expect(order).toEqual([]);
    await queue.wait('take');
    expect(order).toEqual(['inner', 'outer']);
  });

  it('that throw do not keep the others from running', async () => {
    const { queue, errors } = newQueue();
    queue.push('send', () => {
      throw new Error('planned');
    });
    await queue.wait('send');
    expect(errors).toHaveLength(1);
  });

  // Guards against a host that works on its backlog without reading what has arrived meanwhile.
  it('of more than one turn let what has arrived be read in between', async () => {
    const { queue } = newQueue();
    let iterations = 0;
    let isDone = false;
    const count = (): void => {
      iterations += 1;
      if (!isDone) setImmediate(count);
    };
    setImmediate(count);
    for (let job = 0; job < 10; job++) queue.push('take', () => block(TURN_MS));
    await queue.wait('take');
    isDone = true;
    expect(iterations).toBeGreaterThanOrEqual(10);
  });
});
