import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Server as HttpServer } from 'node:http';
import { z } from 'zod';
import { ListenOptions, listen, type StandIn } from '../server.ts';
import { newControlServer } from './control.ts';
import { Direction } from './direction.ts';

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
const TARGET_CHECK_MS = 20;

interface Link {
  source: string;
  client: Socket;
  server: Socket;
  toServer: Direction;
  toClient: Direction;
  isSilent: boolean;
}

/** TCP proxy that injects faults between a client and a server. */
export class Proxy implements StandIn {
  faults = ProxyFaults.parse({});
  private readonly sourceFaults = new Map<string, Partial<ProxyFaults>>();
  private readonly links = new Set<Link>();
  private listener: Server | undefined;
  private boundPort: number | undefined;
  /** Runs while the server refuses connections; the proxy refuses them too. */
  private targetCheck: NodeJS.Timeout | undefined;
  private isStopped = false;
  private control: HttpServer | undefined;
  private changes: Promise<void> = Promise.resolve();

  private constructor(private readonly options: z.infer<typeof Options>) {}

  static create(options: z.input<typeof Options>): Proxy {
    return new Proxy(Options.parse(options));
  }

  /** Number of open connections. */
  get connections(): number {
    return this.links.size;
  }

  async start(): Promise<string> {
    await this.open();
    return `${this.options.host}:${this.boundPort ?? 0}`;
  }

  /** Starts the control server and returns its address. */
  startControl(): Promise<string> {
    this.control = newControlServer(this);
    return listen(this.control, this.options.host, this.options.controlPort ?? 0);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.targetCheck);
    await this.changes;
    await this.shut();
    for (const { client, server } of this.links) {
      client.destroy();
      server.destroy();
    }
    this.control?.close();
    this.control?.closeAllConnections();
  }

  /**
   * Changes the named switches, also for open connections; with `source` only for connections from that
   * IP number, where they go before the common ones.
   */
  setFaults(change: Partial<ProxyFaults>, source?: string): Promise<void> {
    if (source === undefined) this.faults = { ...this.faults, ...change };
    else this.sourceFaults.set(source, { ...this.sourceFaults.get(source), ...change });
    for (const link of this.links) this.apply(link);
    return this.update();
  }

  /** Listens or refuses connections, as the switches and the server say. */
  private update(): Promise<void> {
    const isRefused = () => this.faults.refuse || this.targetCheck !== undefined || this.isStopped;
    this.changes = this.changes.then(() => (isRefused() ? this.shut() : this.open()));
    return this.changes;
  }

  /** Removes all switches of connections from the IP number `source`. */
  clearFaults(source: string): Promise<void> {
    this.sourceFaults.delete(source);
    return this.setFaults({});
  }

  /** Makes all open connections, or those from `source`, silent for good; new ones work. */
  silence(source?: string): void {
    for (const link of this.links) {
      if (source !== undefined && link.source !== source) continue;
      link.isSilent = true;
      this.apply(link);
    }
  }

  private async open(): Promise<void> {
    if (this.listener !== undefined) return;
    this.listener = createServer({ allowHalfOpen: true }, (client) => this.accept(client));
    const { host, port } = this.options;
    const address = await listen(this.listener, host, this.boundPort ?? port);
    this.boundPort = Number(address.slice(address.lastIndexOf(':') + 1));
  }

  private shut(): Promise<void> {
    // Connections stay open, so the callback of `close` may come much later.
    this.listener?.close();
    this.listener = undefined;
    return Promise.resolve();
  }

  private accept(client: Socket): void {
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
      this.refuseWithTarget();
    });
    client.setNoDelay(true);
    server.setNoDelay(true);
    const link: Link = {
      source,
      client,
      server,
      toServer: Direction.create(client, server, () => true),
      toClient: Direction.create(server, client, () => !this.losesAnswer(link)),
      isSilent: false,
    };
    this.links.add(link);
    this.apply(link);
    for (const [socket, other] of [
      [client, server],
      [server, client],
    ] as const) {
      socket.on('error', () => socket.destroy());
      socket.on('close', (hadError) => {
        // A silent connection must look open to both sides, and a held-back end is not lost.
        const mayEnd = hadError || !socket.readableEnded;
        if (mayEnd && !link.isSilent && !this.isCut(link)) other.destroy();
        if (!client.destroyed || !server.destroyed) return;
        link.toServer.stop();
        link.toClient.stop();
        this.links.delete(link);
      });
    }
  }

  private connectTarget(): Socket {
    const at = this.options.target.lastIndexOf(':');
    const host = this.options.target.slice(0, at);
    return connect({ host, port: Number(this.options.target.slice(at + 1)), allowHalfOpen: true });
  }

  /** Refuses connections until the server accepts them again. */
  private refuseWithTarget(): void {
    if (this.targetCheck !== undefined || this.isStopped) return;
    const check = () => {
      const probe = this.connectTarget();
      probe.once('connect', () => {
        probe.destroy();
        this.targetCheck = undefined;
        void this.update();
      });
      probe.once('error', () => {
        if (!this.isStopped) this.targetCheck = setTimeout(check, TARGET_CHECK_MS);
      });
    };
    this.targetCheck = setTimeout(check, TARGET_CHECK_MS);
    void this.update();
  }

  private getFaults(source: string): ProxyFaults {
    return { ...this.faults, ...this.sourceFaults.get(source) };
  }

  private isCut({ source }: Link): boolean {
    const { cutToServer, cutToClient } = this.getFaults(source);
    return cutToServer || cutToClient;
  }

  private losesAnswer(link: Link): boolean {
    const own = this.sourceFaults.get(link.source);
    const faults = own?.loseAnswers === undefined ? this.faults : own;
    if (link.isSilent || !faults.loseAnswers) return false;
    faults.loseAnswers--;
    link.client.destroy();
    link.server.destroy();
    return true;
  }

  private apply({ source, toServer, toClient, isSilent }: Link): void {
    const { delayMs, cutToServer, cutToClient } = this.getFaults(source);
    toServer.isCut = isSilent || cutToServer;
    toClient.isCut = isSilent || cutToClient;
    for (const direction of [toServer, toClient]) {
      direction.delayMs = delayMs;
      direction.pump();
    }
  }
}
