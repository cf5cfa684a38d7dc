import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import type { SocketAddress } from '../settings/values.ts';
import { ConnectionLimit } from './connectionLimit.ts';
import { MAX_STATUS_CONNECTIONS, MAX_STATUS_HEADER_BYTES, STATUS_TIMEOUT_MS } from './constants.ts';
import { listen } from './listen.ts';

/** A short text about the state of the host. */
export interface StatusText {
  status: number;
  body: string;
}

/**
 * A server of short texts for the balancer and for metrics. Reads no bodies, and keeps few connections, of which
 * new ones replace the oldest.
 */
export class StatusServer {
  private readonly limit = ConnectionLimit.create(MAX_STATUS_CONNECTIONS);

  private constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => this.limit.add(socket, () => false));
  }

  static create(getText: (path: string) => StatusText): StatusServer {
    const limits = {
      maxHeaderSize: MAX_STATUS_HEADER_BYTES,
      headersTimeout: STATUS_TIMEOUT_MS,
      requestTimeout: STATUS_TIMEOUT_MS,
      connectionsCheckingInterval: STATUS_TIMEOUT_MS,
    };
    const server = createServer(limits, (request, response) => {
      const { status, body } = getText(request.url ?? '');
      const { 'content-length': length = '0', 'transfer-encoding': encoding } = request.headers;
      const hasBody = length !== '0' || encoding !== undefined;
      response.writeHead(status, {
        'content-type': 'text/plain; charset=utf-8',
        'content-length': Buffer.byteLength(body),
        // A body is not read.
        ...(hasBody ? { connection: 'close' } : {}),
      });
      response.end(body);
    });
    return new StatusServer(server);
  }

  /** Starts listening; rejects when the address stays in use. */
  async start(address: SocketAddress, options: Parameters<typeof listen>[2] = {}): Promise<void> {
    await listen(this.server, address, options);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
    this.limit.stop();
  }
}
