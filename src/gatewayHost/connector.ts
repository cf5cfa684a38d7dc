import { buildConnector } from 'undici';
import { CONNECT_TIMEOUT_MS } from './constants.ts';

/** Tells whether a connection is being reset in the current turn of the loop. */
export interface ResetWatch {
  isResetting: boolean;
}

/**
 * Returns a connector that tells of resets before undici handles them. undici takes a reset for the
 * end of an answer that has no length, which would make a part of an answer look whole.
 */
export function newWatchedConnector(
  localAddress: string | undefined,
  watch: ResetWatch,
): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, localAddress });
  return (options, callback) => {
    connect(options, (...args) => {
      const [, socket] = args;
      socket?.prependListener('error', () => {
        watch.isResetting = true;
        setImmediate(() => {
          watch.isResetting = false;
        });
      });
      callback(...args);
    });
  };
}
