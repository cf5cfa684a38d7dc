import { createConnection } from 'node:net';

/**
 * Opens a connection to `address`, an `IP:PORT`, and closes it. Resolves with whether it was refused;
 * with false if it was opened, failed otherwise or took longer than `timeoutMs`. Never rejects.
 */
export function isConnectionRefused(
  address: string,
  localAddress: string | undefined,
  timeoutMs: number,
): Promise<boolean> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve) => {
    const socket = createConnection({ host, port: Number(port), localAddress });
    const end = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(timeoutMs, () => end(false));
    socket.once('connect', () => end(false));
    socket.on('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED'));
  });
}
