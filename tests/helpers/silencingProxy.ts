import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** TCP proxy that can stop forwarding on its open connections without closing them. */
export class SilencingProxy {
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async create(targetPort: number): Promise<SilencingProxy> {
    const server = createServer();
    const proxy = new SilencingProxy(server);
    server.on('connection', (client) => proxy.forwardConnection(client, targetPort));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
    return proxy;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  silenceConnections(): void {
    for (const socket of this.sockets) this.silenced.add(socket);
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private forwardConnection(client: Socket, targetPort: number): void {
    const upstream = connect(targetPort, '127.0.0.1');
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      this.sockets.add(from);
      from.on('data', (chunk) => this.silenced.has(from) || to.write(chunk));
      from.on('error', () => from.destroy());
      from.on('close', () => {
        this.sockets.delete(from);
        if (!this.silenced.has(from)) to.destroy();
      });
    }
  }
}
