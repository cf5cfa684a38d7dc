import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Server as HttpServer } from 'node:http';
import { z } from 'zod';
import { ListenOptions, listen, type StandIn } from '../server.ts';
import { newControlServer } from './control.ts';
import { ConnectionDirection } from './connectionDirection.ts';

const Options = ListenOptions.extend({
  /** `host:port` of the proxied server. */
  target: z.string(),
  /** Port of the control server with `POST /faults` and `POST /silence`; without it none runs. */
  controlPort: z.int().min(0).max(65_535).optional(),
});

/** Fault settings of the proxy. */
export const ProxyFaults = z.object({
  /** Delay added in each direction. */
  delayMs: z.number().min(0).default(0),
  /** Number of further answers that are lost: the connection closes before their first byte is forwarded. */
  loseAnswers: z.int().min(0).default(0),
  /** Holds the bytes that clients send until cleared. */
  cutToServer: z.boolean().default(false),
  /** Holds the bytes that the server sends until cleared. */
  cutToClient: z.boolean().default(false),
  /** Refuses new connections; open ones stay open. */
  refuse: z.boolean().default(false),
});
export type ProxyFaults = z.infer<typeof ProxyFaults>;

/** Interval of the probes that check whether the server listens again. */
const TARGET_PROBE_INTERVAL_MS = 20;

interface ProxiedConnection {
  /** IP address of the client. */
  source: string;
  client: Socket;
  server: Socket;
  toServer: ConnectionDirection;
  toClient: ConnectionDirection;
  isSilenced: boolean;
}

/** TCP proxy that injects faults between a client and a server. */
export class FaultProxy implements StandIn {
  faults = ProxyFaults.parse({});
  private readonly faultsBySource = new Map<string, Partial<ProxyFaults>>();
  private readonly openConnections = new Set<ProxiedConnection>();
  private listener: Server | undefined;
  private boundPort: number | undefined;
  /** Set while the server refuses connections; the proxy then refuses them as well. */
  private targetProbeTimer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private controlServer: HttpServer | undefined;
  private listenerUpdates: Promise<void> = Promise.resolve();

  private constructor(private readonly options: z.infer<typeof Options>) {}

  static create(options: z.input<typeof Options>): FaultProxy {
    return new FaultProxy(Options.parse(options));
  }

  get connectionCount(): number {
    return this.openConnections.size;
  }

  async start(): Promise<string> {
    await this.openListener();
    return `${this.options.host}:${this.boundPort ?? 0}`;
  }

  /** Starts the control server and returns its address. */
  startControl(): Promise<string> {
    this.controlServer = newControlServer(this);
    return listen(this.controlServer, this.options.host, this.options.controlPort ?? 0);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.targetProbeTimer);
    await this.listenerUpdates;
    await this.closeListener();
    for (const { client, server } of this.openConnections) {
      client.destroy();
      server.destroy();
    }
    this.controlServer?.close();
    this.controlServer?.closeAllConnections();
  }

  /**
   * Updates the given fault settings, also for open connections. With `source`, they apply only to
   * connections from that IP address and override the common ones.
   */
  setFaults(change: Partial<ProxyFaults>, source?: string): Promise<void> {
    if (source === undefined) this.faults = { ...this.faults, ...change };
    else this.faultsBySource.set(source, { ...this.faultsBySource.get(source), ...change });
    for (const connection of this.openConnections) this.applyFaults(connection);
    return this.updateListener();
  }

  /** Opens or closes the listener according to the fault settings and the state of the server. */
  private updateListener(): Promise<void> {
    const isRefused = () =>
      this.faults.refuse || this.targetProbeTimer !== undefined || this.isStopped;
    this.listenerUpdates = this.listenerUpdates.then(() =>
      isRefused() ? this.closeListener() : this.openListener(),
    );
    return this.listenerUpdates;
  }

  /** Removes the fault settings of connections from the IP address `source`. */
  clearFaults(source: string): Promise<void> {
    this.faultsBySource.delete(source);
    return this.setFaults({});
  }

  /** Stops all traffic of the open connections, or only of those from `source`, for good; new ones work. */
  silenceConnections(source?: string): void {
    for (const connection of this.openConnections) {
      if (source !== undefined && connection.source !== source) continue;
      connection.isSilenced = true;
      this.applyFaults(connection);
    }
  }

  /** Resets the open connections from the IP address `source`. */
  resetConnections(source: string): void {
    for (const connection of this.openConnections) {
      if (connection.source !== source) continue;
      connection.client.resetAndDestroy();
      connection.server.destroy();
    }
  }

  private async openListener(): Promise<void> {
    if (this.listener !== undefined) return;
    this.listener = createServer({ allowHalfOpen: true }, (client) =>
      this.acceptConnection(client),
    );
    const { host, port } = this.options;
    const address = await listen(this.listener, host, this.boundPort ?? port);
    this.boundPort = Number(address.slice(address.lastIndexOf(':') + 1));
  }

  private closeListener(): Promise<void> {
    // Does not await `close`, whose callback runs only when all connections have ended.
    this.listener?.close();
    this.listener = undefined;
    return Promise.resolve();
  }

  private acceptConnection(client: Socket): void {
    const source = client.remoteAddress ?? '';
    // All sources share the listener, so a refusal for one source is a reset.
    if (this.getFaults(source).refuse) {
      client.resetAndDestroy();
      return;
    }
    const server = this.connectTarget();
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code !== 'ECONNREFUSED') return;
      client.resetAndDestroy();
      this.refuseUntilTargetAccepts();
    });
    client.setNoDelay(true);
    server.setNoDelay(true);
    const connection: ProxiedConnection = {
      source,
      client,
      server,
      toServer: ConnectionDirection.create(client, server, () => true),
      toClient: ConnectionDirection.create(
        server,
        client,
        () => !this.closeToLoseAnswer(connection),
      ),
      isSilenced: false,
    };
    this.openConnections.add(connection);
    this.applyFaults(connection);
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', (hadError) => {
        // A silenced connection must look open to both sides; a blocked one must still deliver the bytes
        // and the end of the stream that it holds.
        const mayEnd = hadError || !socket.readableEnded;
        if (mayEnd && !connection.isSilenced && !this.isBlocked(connection)) other.destroy();
        if (!client.destroyed || !server.destroyed) return;
        connection.toServer.stop();
        connection.toClient.stop();
        this.openConnections.delete(connection);
      });
    }
  }

  private connectTarget(): Socket {
    const at = this.options.target.lastIndexOf(':');
    const host = this.options.target.slice(0, at);
    return connect({ host, port: Number(this.options.target.slice(at + 1)), allowHalfOpen: true });
  }

  /** Refuses connections until the server accepts them again. */
  private refuseUntilTargetAccepts(): void {
    if (this.targetProbeTimer !== undefined || this.isStopped) return;
    const check = () => {
      const probe = this.connectTarget();
      probe.once('connect', () => {
        probe.destroy();
        this.targetProbeTimer = undefined;
        void this.updateListener();
      });
      probe.once('error', () => {
        if (!this.isStopped) this.targetProbeTimer = setTimeout(check, TARGET_PROBE_INTERVAL_MS);
      });
    };
    this.targetProbeTimer = setTimeout(check, TARGET_PROBE_INTERVAL_MS);
    void this.updateListener();
  }

  private getFaults(source: string): ProxyFaults {
    return { ...this.faults, ...this.faultsBySource.get(source) };
  }

  private isBlocked({ source }: ProxiedConnection): boolean {
    const { cutToServer, cutToClient } = this.getFaults(source);
    return cutToServer || cutToClient;
  }

  /** Closes the connection when an answer is to be lost; returns whether it did. */
  private closeToLoseAnswer(connection: ProxiedConnection): boolean {
    const own = this.faultsBySource.get(connection.source);
    const faults = own?.loseAnswers === undefined ? this.faults : own;
    if (connection.isSilenced || !faults.loseAnswers) return false;
    faults.loseAnswers--;
    connection.client.destroy();
    connection.server.destroy();
    return true;
  }

  private applyFaults({ source, toServer, toClient, isSilenced }: ProxiedConnection): void {
    const { delayMs, cutToServer, cutToClient } = this.getFaults(source);
    toServer.isBlocked = isSilenced || cutToServer;
    toClient.isBlocked = isSilenced || cutToClient;
    for (const direction of [toServer, toClient]) {
      direction.delayMs = delayMs;
      direction.forwardDue();
    }
  }
}
