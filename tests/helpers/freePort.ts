import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import process from 'node:process';
import { listen } from '../../stand-ins/server.ts';

/** Bounds of the ports that are chosen; ephemeral ports start at 32768 on Linux. */
const MIN_PORT = 10_000;
const MAX_PORT = 30_000;
const PORTS_PER_WORKER = 2_000;
/**
 * Test files that run at the same time choose from ranges of their own: between the check of a port and the
 * start of the process that is meant to listen on it, another file would find it free as well.
 */
const WORKERS = (MAX_PORT - MIN_PORT) / PORTS_PER_WORKER;
const WORKER = Number(process.env.VITEST_POOL_ID ?? 0) % WORKERS;
const FIRST_PORT = MIN_PORT + WORKER * PORTS_PER_WORKER;

const returnedPorts = new Set<number>();

/**
 * Returns a port of `ip` that is free now, not ephemeral and was not returned before. An ephemeral
 * port could be given to another listener or an outgoing connection before the process that it is
 * meant for listens on it.
 */
export async function findFreePort(ip: string): Promise<number> {
  for (;;) {
    const port = randomInt(FIRST_PORT, FIRST_PORT + PORTS_PER_WORKER);
    if (returnedPorts.has(port)) continue;
    const server = createServer();
    try {
      await listen(server, ip, port);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') continue;
      throw error;
    }
    await new Promise((resolve) => server.close(resolve));
    returnedPorts.add(port);
    return port;
  }
}
