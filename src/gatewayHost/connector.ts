import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { ENDPOINT_CONNECT_TIMEOUT_MS } from './constants.ts';

/** Tells which connection the other side ends in the current turn of the loop. */
export class SocketEndTracker {
  private ending: Socket | undefined;

  private constructor() {}

  static create(): SocketEndTracker {
    return new SocketEndTracker();
  }

  /** Has the end of `socket` noted before undici handles it. */
  track(socket: Socket): void {
    // The write below may fail after undici has let go of the socket.
    socket.on('error', () => undefined);
    socket.prependListener('end', () => {
      this.ending = socket;
      setImmediate(() => {
        if (this.ending === socket) this.ending = undefined;
      });
    });
  }

  /**
   * Whether the connection that ends now was closed in order. undici takes a reset for the end of an
   * answer that has no length, and libuv reports a reset as an end when it arrives together with
   * data. A write tells them apart: it fails at once on a connection that was reset.
   */
  isGracefulClose(): boolean {
    const { ending } = this;
    if (ending?.errored !== null) return false;
    ending.write('\r\n');
    return (ending.errored as Error | null) === null;
  }
}

/** Returns a connector whose connections are watched for their end. */
export function newTrackedConnector(
  localAddress: string | undefined,
  watch: SocketEndTracker,
): buildConnector.connector {
  const connect = buildConnector({ timeout: ENDPOINT_CONNECT_TIMEOUT_MS, localAddress });
  return (options, callback) => {
    connect(options, (...args) => {
      // A connection that failed has no socket.
      if (args[0] === null) watch.track(args[1]);
      callback(...args);
    });
  };
}
