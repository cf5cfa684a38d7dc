import { createConnection } from 'node:net';
import { splitAddress } from './address.ts';
import { RUN_CHECK_HOLD_MS, RUN_CHECK_TIMEOUT_MS, RUN_CHECK_TRIES } from './constants.ts';

/** `closed`: the connection was accepted and closed at once; `unanswered` includes other errors. */
type ConnectionCheck = 'accepted' | 'closed' | 'refused' | 'unanswered';

/**
 * Opens a connection to `address`, a `HOST:PORT`, and closes it. Resolves with whether it was refused;
 * with false if it was opened, failed otherwise or took longer than `timeoutMs`. Never rejects.
 */
export async function isConnectionRefused(
  address: string,
  localAddress: string | undefined,
  timeoutMs: number,
): Promise<boolean> {
  return (await checkConnection(address, localAddress, timeoutMs, 0)) === 'refused';
}

/**
 * Whether the server at `address`, a `HOST:PORT`, still accepts connections; false if it does not
 * answer. Takes at most RUN_CHECK_TRIES times the timeout and the hold time. Never rejects.
 */
export async function isServerRunning(
  address: string,
  localAddress: string | undefined,
): Promise<boolean> {
  let check: ConnectionCheck = 'unanswered';
  for (let attempt = 0; attempt < RUN_CHECK_TRIES; attempt++) {
    check = await checkConnection(address, localAddress, RUN_CHECK_TIMEOUT_MS, RUN_CHECK_HOLD_MS);
    if (check === 'accepted' || check === 'refused') break;
  }
  // A server at its connection limit closes what it accepts.
  return check === 'accepted' || check === 'closed';
}

/** Opens a connection and holds it for `holdMs`. */
function checkConnection(
  address: string,
  localAddress: string | undefined,
  timeoutMs: number,
  holdMs: number,
): Promise<ConnectionCheck> {
  return new Promise((resolve) => {
    const socket = createConnection({ ...splitAddress(address), localAddress });
    let isOpened = false;
    const end = (check: ConnectionCheck): void => {
      socket.destroy();
      resolve(check);
    };
    socket.setTimeout(timeoutMs, () => end('unanswered'));
    socket.once('connect', () => {
      isOpened = true;
      if (holdMs === 0) end('accepted');
      else setTimeout(() => end('accepted'), holdMs);
    });
    socket.once('end', () => end('closed'));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (isOpened) end('closed');
      else end(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered');
    });
    // Nothing is expected, but the end is reported to readers only.
    socket.resume();
  });
}
