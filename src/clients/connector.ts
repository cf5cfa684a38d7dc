import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import { MAX_READ_BYTES } from './constants.ts';

/** Records which connection the peer ended in the current iteration of the event loop. */
export class SocketEndTracker {
  private endingSocket: Socket | undefined;

  private constructor() {}

  static create(): SocketEndTracker {
    return new SocketEndTracker();
  }

  /** Records the end of `socket` before undici handles it. */
  track(socket: Socket): void {
    // The write in `isGracefulClose` may fail after undici has removed its error listener.
    socket.on('error', () => undefined);
    limitReads(socket);
    socket.prependListener('end', () => {
      this.endingSocket = socket;
      setImmediate(() => {
        if (this.endingSocket === socket) this.endingSocket = undefined;
      });
    });
  }

  /**
   * Whether the connection that just ended was closed gracefully. undici treats a reset as the end of
   * a response without a length, and libuv reports a reset that arrives together with data as an end.
   * The two are distinguished by a write, which fails immediately on a connection that was reset.
   */
  isGracefulClose(): boolean {
    const { endingSocket } = this;
    if (endingSocket?.errored !== null) return false;
    endingSocket.write('\r\n');
    return (endingSocket.errored as Error | null) === null;
  }
}

/**
 * Has undici parse what arrives in small pieces. It parses the rest of a piece after it has destroyed the
 * connection, with an error for each header beyond its limit, which blocks the event loop for 0.1 s and
 * more in a piece of 64 KiB.
 */
function limitReads(socket: Socket): void {
  const read = socket.read.bind(socket) as (size?: number) => unknown;
  socket.read = (size?: number) => {
    if (socket.destroyed) return null;
    if (size !== undefined || socket.readableLength <= MAX_READ_BYTES) return read(size);
    return read(MAX_READ_BYTES);
  };
}

/**
 * Returns a connector that registers its connections with `tracker`; opening one takes at most
 * `timeoutMs`.
 */
export function newTrackedConnector(
  timeoutMs: number,
  tracker: SocketEndTracker,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...args) => {
      // There is no socket if the connection failed.
      if (args[0] === null) tracker.track(args[1]);
      callback(...args);
    });
  };
}

/**
 * Returns a connector that hands its connections over in a turn, since the request that waits for one is
 * written at once.
 */
export function handOverInTurns(
  connect: buildConnector.connector,
  turns: TurnQueue,
): buildConnector.connector {
  return (options, callback) =>
    connect(options, (...args) => turns.run('send', () => callback(...args)));
}
