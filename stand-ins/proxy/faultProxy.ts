import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Server as HttpServer } from 'node:http';
import { z } from 'zod';
import { ListenOptions, listen, type StandIn } from '../server.ts';
import { newControlServer } from './control.ts';
import { ConnectionDirection } from './connectionDirection.ts';

const Options = ListenOptions.extend({
  /** `host:port` of the server behind the proxy. */
  target: z.string(),
  /** Port of `POST /faults` and `POST /silence`; absent without control over HTTP. */
  controlPort: z.int().min(0).max(65_535).optional(),
});

export const ProxyFaults = z.object({
  /** Added to each direction. */
  delayMs: z.number().min(0).default(0),
  /** Number of answers whose connection is closed before their first byte is passed on. */
  loseAnswers: z.int().min(0).default(0),
  /** Holds back what clients send until cleared. */
  cutToServer: z.boolean().default(false),
  /** Holds back what the server sends until cleared. */
  cutToClient: z.boolean().default(false),
  /** Refuses new connections; open ones go on. */
  refuse: z.boolean().default(false),
});
export type ProxyFaults = z.infer<typeof ProxyFaults>;

/** Interval of the connections that tell whether the server listens again. */
const TARGET_PROBE_INTERVAL_MS = 20;

interface ProxiedConnection {
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
  /** Runs while the server refuses connections; the proxy refuses them too. */
  private targetProbeTimer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private controlServer: HttpServer | undefined;
  private listenerUpdates: Promise<void> = Promise.resolve();

  private constructor(private readonly options: z.infer<typeof Options>) {}

  static create(options: z.input<typeof Options>): FaultProxy {
    return new FaultProxy(Options.parse(options));
  }

  /** Number of open connections. */
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
   * Changes the named switches, also for open connections; with `source` only for connections from that
   * IP number, where they go before the common ones.
   */
  setFaults(change: Partial<ProxyFaults>, source?: string): Promise<void> {
    if (source === undefined) this.faults = { ...this.faults, ...change };
    else this.faultsBySource.set(source, { ...this.faultsBySource.get(source), ...change });
    for (const link of this.openConnections) this.applyFaults(link);
    return this.updateListener();
  }

  /** Listens or refuses connections, as the switches and the server say. */
  private updateListener(): Promise<void> {
    const isRefused = () =>
      this.faults.refuse || this.targetProbeTimer !== undefined || this.isStopped;
    this.listenerUpdates = this.listenerUpdates.then(() =>
      isRefused() ? this.closeListener() : this.openListener(),
    );
    return this.listenerUpdates;
  }

  /** Removes all switches of connections from the IP number `source`. */
  clearFaults(source: string): Promise<void> {
    this.faultsBySource.delete(source);
    return this.setFaults({});
  }

  /** Makes all open connections, or those from `source`, silent for good; new ones work. */
  silenceConnections(source?: string): void {
    for (const link of this.openConnections) {
      if (source !== undefined && link.source !== source) continue;
      link.isSilenced = true;
      this.applyFaults(link);
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
    // Connections stay open, so the callback of `close` may come much later.
    this.listener?.close();
    this.listener = undefined;
    return Promise.resolve();
  }

  private acceptConnection(client: Socket): void {
    const source = client.remoteAddress ?? '';
    // The listener is shared by all sources, so that a refusal for one of them is a reset.
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
    const link: ProxiedConnection = {
      source,
      client,
      server,
      toServer: ConnectionDirection.create(client, server, () => true),
      toClient: ConnectionDirection.create(server, client, () => !this.closeToLoseAnswer(link)),
      isSilenced: false,
    };
    this.openConnections.add(link);
    this.applyFaults(link);
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', (hadError) => {
        // A silent connection must look open to both sides, and a held-back end is not lost.
        const mayEnd = hadError || !socket.readableEnded;
        if (mayEnd && !link.isSilenced && !this.isBlocked(link)) other.destroy();
        if (!client.destroyed || !server.destroyed) return;
        link.toServer.stop();
        link.toClient.stop();
        this.openConnections.delete(link);
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

  private closeToLoseAnswer(link: ProxiedConnection): boolean {
    const own = this.faultsBySource.get(link.source);
    const faults = own?.loseAnswers === undefined ? this.faults : own;
    if (link.isSilenced || !faults.loseAnswers) return false;
    faults.loseAnswers--;
    link.client.destroy();
    link.server.destroy();
    return true;
  }

  private applyFaults({
    source,
    toServer,
    toClient,
    isSilenced: isSilent,
  }: ProxiedConnection): void {
    const { delayMs, cutToServer, cutToClient } = this.getFaults(source);
    toServer.isBlocked = isSilent || cutToServer;
    toClient.isBlocked = isSilent || cutToClient;
    for (const direction of [toServer, toClient]) {
      direction.delayMs = delayMs;
      direction.forwardDue();
    }
  }
}
