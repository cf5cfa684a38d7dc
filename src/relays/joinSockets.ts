import type { Socket } from 'node:net';

/**
 * Passes the bytes of a caller and of an endpoint on to each other, as fast as each takes them, and ends one
 * connection in the way that the other ended: a reset must not look like a graceful end.
 */
export function joinSockets(caller: Socket, endpoint: Socket): void {
  passOn(caller, endpoint, () => endpoint.end());
  passOn(endpoint, caller, () => {
    if (wasReset(endpoint)) caller.resetAndDestroy();
    else caller.end();
  });
}

function passOn(from: Socket, to: Socket, onEnd: () => void): void {
  from.pipe(to, { end: false });
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
