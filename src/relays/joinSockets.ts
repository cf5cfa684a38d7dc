import type { Socket } from 'node:net';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';

/**
 * Passes the bytes of a caller and of an endpoint on to each other, as fast as each takes them, and ends one
 * connection in the way that the other ended: a reset must not look like a graceful end.
 */
export function joinSockets(caller: Socket, endpoint: Socket, turns: TurnQueue): void {
  passRequestsOn(caller, endpoint, turns);
  passEndOn(caller, endpoint, () => endpoint.end());
  endpoint.pipe(caller, { end: false });
  passEndOn(endpoint, caller, () => {
    if (wasReset(endpoint)) caller.resetAndDestroy();
    else caller.end();
  });
}

/** Passes bytes on in turns: a caller that has closed its connection has cancelled its request. */
function passRequestsOn(caller: Socket, endpoint: Socket, turns: TurnQueue): void {
  let isWaiting = false;
  const waitForEndpoint = (): void => {
    if (isWaiting) return;
    isWaiting = true;
    caller.pause();
    endpoint.once('drain', () => {
      isWaiting = false;
      caller.resume();
    });
  };
  caller.on('data', (bytes) => {
    turns.push('send', () => {
      if (caller.destroyed || caller.readableEnded) return;
      if (!endpoint.write(bytes)) waitForEndpoint();
    });
  });
  caller.resume();
}

function passEndOn(from: Socket, to: Socket, onEnd: () => void): void {
  from.once('end', onEnd);
  from.once('error', () => to.resetAndDestroy());
  from.once('close', () => {
    if (!from.readableEnded) to.destroy();
  });
}

/**
 * Whether the connection of an endpoint that just ended was reset. libuv reports a reset that arrives
 * together with data as an end; a write then fails immediately.
 */
function wasReset(endpoint: Socket): boolean {
  if (!endpoint.writable) return false;
  endpoint.write('\r\n');
  return endpoint.errored !== null;
}
