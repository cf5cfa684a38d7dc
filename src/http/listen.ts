import { once } from 'node:events';
import type { Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SocketAddress } from '../settings/values.ts';
import { LISTEN_RETRY_MS, LISTEN_TIMEOUT_MS } from './constants.ts';

/** Errors of addresses that may be free soon: the process before this one may still hold them. */
const TRANSIENT_CODES = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

interface ListenOptions {
  /** Limit in ms for an address that is taken. */
  timeoutMs?: number;
  /** Ends the attempts; `listen` then returns without a listener. */
  signal?: AbortSignal;
  /** Called with the first error of an address that is taken. */
  onTaken?: (error: Error) => void;
}

/**
 * Lets `server` listen. While the address is taken, tries again for `timeoutMs`; then rejects with the
 * error of the system, as it does at once for any other error.
 */
export async function listen(
  server: Server,
  address: SocketAddress,
  { timeoutMs = LISTEN_TIMEOUT_MS, signal, onTaken }: ListenOptions = {},
): Promise<void> {
  const startedAt = performance.now();
  for (let tries = 1; signal?.aborted !== true; tries++) {
    try {
      server.listen(address.port, address.host);
      await once(server, 'listening');
      return;
    } catch (error) {
      const { code = '' } = error as NodeJS.ErrnoException;
      const isLate = performance.now() - startedAt >= timeoutMs;
      if (!TRANSIENT_CODES.has(code) || isLate) throw error;
      if (tries === 1) onTaken?.(error as Error);
    }
    await sleep(LISTEN_RETRY_MS, undefined, { signal }).catch(() => undefined);
  }
}
