import type { buildConnector } from 'undici';
import type { SocketEndTracker } from '../clients/connector.ts';
import { openRelayedConnection, type RelayTarget } from './relayClient.ts';

/** Returns a connector that opens connections through a relay and registers them with `tracker`. */
export function newRelayedConnector(
  target: RelayTarget,
  tracker: SocketEndTracker,
): buildConnector.connector {
  return (_options, callback) => {
    openRelayedConnection(target).then(
      (socket) => {
        tracker.track(socket);
        callback(null, socket);
      },
      (error: unknown) => callback(error instanceof Error ? error : new Error(String(error)), null),
    );
  };
}
