import type { IncomingMessage, ServerResponse } from 'node:http';

/** Whether the caller of a request has closed its connection, as far as this process has read. */
export function hasCallerLeft({ socket }: IncomingMessage, response: ServerResponse): boolean {
  // The end of a connection is read some iterations of the event loop before the connection is closed.
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

/** Calls `listener` once if the caller closes its connection before the response is written out. */
export function onCallerLeft(
  { socket }: IncomingMessage,
  response: ServerResponse,
  listener: () => void,
): void {
  const end = (): void => {
    socket.off('end', end);
    response.off('close', end);
    if (!response.writableFinished) listener();
  };
  socket.on('end', end);
  response.on('close', end);
}
