import { createServer, connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { PollClock } from '../../src/eventLoop/pollClock.ts';
import { cleanUpAfterTest } from '../support.ts';

const DELAY_MS = 200;
/** Excess of a delay that comes from the work of the test itself. */
const MARGIN_MS = 100;

/** Blocks the event loop. */
function block(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, DELAY_MS);
}

/** Returns the delay that the clock tells when bytes are read that arrive while `act` runs. */
async function readAfter(act: () => void | Promise<void>): Promise<number> {
  const clock = PollClock.create();
  clock.start();
  const delays: number[] = [];
  const server = createServer((socket) =>
    socket.on('data', () => delays.push(clock.getReadDelayMs())),
  );
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  cleanUpAfterTest(async () => {
    clock.stop();
    socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });
  await new Promise<void>((resolve) => socket.once('connect', resolve));
  await sleep(DELAY_MS / 4);
  socket.write('request');
  await act();
  while (delays.length === 0) await sleep(1);
  return delays[0] ?? Infinity;
}

// Guards against deadlines that are counted from the time at which a late host reads a request.
describe('the clock tells for how long bytes may have waited', () => {
  it('while the event loop was busy', async () => {
    const delayMs = await readAfter(block);
    expect(delayMs).toBeGreaterThan(DELAY_MS - 10);
    expect(delayMs).toBeLessThan(DELAY_MS + MARGIN_MS);
  });

  it('while the event loop waited', async () => {
    expect(await readAfter(() => sleep(DELAY_MS))).toBeLessThan(MARGIN_MS);
  });

  it('while the process was suspended, which a late timer shows', () => {
    const clock = PollClock.create();
    clock.recordTimer(performance.now() - DELAY_MS);
    expect(clock.getReadDelayMs()).toBeGreaterThanOrEqual(DELAY_MS);
  });
});
