import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Random } from '../base/random.ts';
import { Message } from '../core/messages.ts';
import type { HostIdentity } from '../core/state.ts';
import { listen } from '../http/listen.ts';
import { MIN_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../membership/constants.ts';
import type { MembershipEvent } from '../membership/types.ts';
import { Connection, type ConnectionOwner, type PeerCounters } from './connection.ts';
import {
  CHECK_INTERVAL_MS,
  FLUSH_TIMEOUT_MS,
  HANDSHAKE_TIMEOUT_MS,
  LINK_HEARTBEAT_INTERVAL_MS,
  MAX_BUFFERED_BYTES,
  MAX_FRAME_BYTES,
  PROBE_AFTER_MS,
  RECONNECT_BASE_MS,
  RECONNECT_MAX_MS,
  RECEIVE_TIMEOUT_MS,
  SUPERSEDED_CLOSE_DELAY_MS,
} from './constants.ts';
import { encodeFrame, FRAME_KIND } from './frames.ts';
import { getSharedProtocolVersion, type Hello } from './hello.ts';

/** Events that the links report to the host. */
export type PeerEvent =
  | Extract<MembershipEvent, { type: 'linkOpened' | 'linkClosed' }>
  | { type: 'messageReceived'; from: string; message: Message };

/** Options of the links. */
export interface PeerLinksOptions {
  identity: HostIdentity;
  listen: { host: string; port: number };
  /** Local IP address of dialled links; chosen by the operating system when undefined. */
  localAddress?: string;
  onEvent: (event: PeerEvent) => void;
  /** Called with a connection that another host wants to be relayed, and its request. */
  onRelayRequested?: (socket: Socket, content: unknown) => void;
}

interface Peer {
  readonly host: string;
  /** `host:port`; empty until it is known. */
  address: string;
  /** Whether a lost link is dialled again. */
  isWanted: boolean;
  /** Connection in use. */
  open: Connection | undefined;
  /** Connection being dialled. */
  dialling: Connection | undefined;
  /** Whether `linkOpened` was reported and not yet `linkClosed`. */
  isReported: boolean;
  /** Consecutive failures; each one doubles the reconnect delay up to its limit. */
  failures: number;
  /** Monotonic ms of the next dial. */
  dialAt: number;
}

/** TCP links to the other hosts, with at most one connection in use per host. */
export class PeerLinks implements ConnectionOwner {
  readonly counters: PeerCounters = {
    sentBytes: 0,
    receivedBytes: 0,
    malformed: 0,
    dropped: 0,
    refused: 0,
  };
  readonly hello: Hello;
  readonly localAddress: string | undefined;
  private readonly server: Server;
  private readonly peers = new Map<string, Peer>();
  private readonly connections = new Set<Connection>();
  /** Monotonic ms at which superseded connections are closed. */
  private readonly superseded = new Map<Connection, number>();
  private readonly random: Random;
  /** The last message that was sent, and its frame. */
  private encoded: { message: Message; frame: Buffer } | undefined;
  private timer: NodeJS.Timeout | undefined;
  private checkedAt = 0;
  private isStopped = false;

  private constructor(private readonly options: PeerLinksOptions) {
    this.localAddress = options.localAddress;
    const { id: host, incarnation, zone, address } = options.identity;
    this.hello = {
      host,
      incarnation,
      zone,
      address,
      protocol: PROTOCOL_VERSION,
      minProtocol: MIN_PROTOCOL_VERSION,
    };
    this.random = Random.create(incarnation);
    this.server = createServer((socket) => {
      this.connections.add(Connection.accept(socket, this));
    });
  }

  static create(options: PeerLinksOptions): PeerLinks {
    return new PeerLinks(options);
  }

  /** Starts to listen and returns the port; rejects when the address stays in use or cannot be bound. */
  async start(): Promise<number> {
    const { host, port } = this.options.listen;
    await listen(this.server, { host, port });
    const bound = (this.server.address() as AddressInfo).port;
    // With port 0 the operating system chooses the port, and the hello must carry the actual one.
    if (port === 0) this.hello.address = `${host}:${bound}`;
    this.checkedAt = performance.now();
    this.timer = setInterval(() => this.checkConnections(), CHECK_INTERVAL_MS);
    return bound;
  }

  /** Flushes and closes all connections and the listener. No events are reported afterwards. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    await Promise.all(
      [...this.connections].map((connection) => connection.flush(FLUSH_TIMEOUT_MS)),
    );
    for (const connection of [...this.connections]) connection.close('stopped');
    this.peers.clear();
    await closed;
  }

  /** Keeps a link to `host` open until `close`; does not dial when a connection is in use already. */
  open(host: string, address: string): void {
    if (host === this.hello.host) return;
    const peer = this.getPeer(host);
    peer.address = address;
    peer.isWanted = true;
    if (peer.open === undefined) this.dial(peer);
  }

  close(host: string): void {
    const peer = this.peers.get(host);
    if (peer === undefined) return;
    this.peers.delete(host);
    peer.open?.close('closed');
    peer.dialling?.close('closed');
    this.reportClosed(peer, 'closed');
  }

  /** Sends `message`; returns false when it was dropped. Delivery is not guaranteed. */
  send(host: string, message: Message): boolean {
    const connection = this.peers.get(host)?.open;
    const frame = connection === undefined ? undefined : this.encode(message);
    if (
      connection === undefined ||
      frame === undefined ||
      frame.length > MAX_FRAME_BYTES ||
      connection.bufferedBytes + frame.length > MAX_BUFFERED_BYTES
    ) {
      this.counters.dropped += 1;
      return false;
    }
    connection.write(frame);
    return true;
  }

  /** Returns the protocol version in use with `host`, or undefined when there is no open link. */
  getProtocolVersion(host: string): number | undefined {
    const hello = this.peers.get(host)?.open?.peerHello;
    return hello === undefined ? undefined : getSharedProtocolVersion(hello);
  }

  onHello(connection: Connection, hello: Hello): void {
    const expectedHost = connection.dialledHost ?? hello.host;
    if (
      hello.host === this.hello.host ||
      hello.host !== expectedHost ||
      getSharedProtocolVersion(hello) === undefined ||
      this.isOutdated(hello)
    ) {
      this.refuse(connection);
      return;
    }
    this.closeOlderStart(hello);
  }

  /** Uses a connection over which bytes pass in both directions. */
  onConfirmed(connection: Connection, hello: Hello): void {
    // The peer may have started again since its hello.
    if (this.isOutdated(hello)) {
      this.refuse(connection);
      return;
    }
    const peer = this.getPeer(hello.host);
    if (peer.dialling === connection) peer.dialling = undefined;
    this.closeOlderStart(hello);
    const current = this.getPeer(hello.host);
    if (current.address === '') current.address = hello.address;
    this.selectConnection(current, connection);
  }

  onMessage(connection: Connection, content: unknown): void {
    const from = connection.peerHello?.host;
    const message = Message.safeParse(content);
    if (from === undefined || !message.success) {
      this.counters.malformed += 1;
      return;
    }
    this.options.onEvent({ type: 'messageReceived', from, message: message.data });
  }

  onClosed(connection: Connection, reason: string): void {
    this.connections.delete(connection);
    this.superseded.delete(connection);
    if (this.isStopped) return;
    const host = connection.dialledHost ?? connection.peerHello?.host;
    const peer = host === undefined ? undefined : this.peers.get(host);
    if (peer === undefined) return;
    if (peer.open === connection) {
      peer.open = undefined;
      // The link is reported as closed only after a new connection failed too. A connection that
      // timed out was probed already. One that fails right after it opened must not be dialled
      // again without a delay.
      if (peer.dialling !== undefined) return;
      const now = performance.now();
      if (peer.address === '' || reason === 'silent') this.handleLinkFailure(peer, reason);
      else if (now - connection.createdAt < HANDSHAKE_TIMEOUT_MS) this.delayDial(peer, now);
      else {
        peer.failures = 0;
        this.dial(peer);
      }
    } else if (peer.dialling === connection) {
      peer.dialling = undefined;
      if (peer.open === undefined) this.handleLinkFailure(peer, reason);
    }
  }

  onRelayRequested(connection: Connection, socket: Socket, content: unknown): void {
    this.connections.delete(connection);
    const { onRelayRequested } = this.options;
    if (onRelayRequested === undefined || this.isStopped) socket.destroy();
    else onRelayRequested(socket, content);
  }

  /**
   * Uses `connection`, except when both hosts dialled at the same time: then both use the connection
   * that the host with the smaller id dialled.
   */
  private selectConnection(peer: Peer, connection: Connection): void {
    const old = peer.open;
    const now = performance.now();
    if (old !== undefined) {
      const hasSameDialler =
        (old.dialledHost === undefined) === (connection.dialledHost === undefined);
      const isRecent =
        now - old.createdAt < RECEIVE_TIMEOUT_MS && now - old.lastReceivedAt < PROBE_AFTER_MS;
      const oldDialler = old.dialledHost === undefined ? peer.host : this.hello.host;
      const isOldKept =
        !hasSameDialler && isRecent && oldDialler < this.getOtherHost(oldDialler, peer);
      const supersededConnection = isOldKept ? connection : old;
      this.superseded.set(supersededConnection, now + SUPERSEDED_CLOSE_DELAY_MS);
      if (isOldKept) return;
    }
    peer.open = connection;
    if (peer.isReported) return;
    peer.isReported = true;
    this.options.onEvent({ type: 'linkOpened', host: peer.host });
  }

  /** Whether a hello is of an earlier start of its host than the connection in use. */
  private isOutdated({ host, incarnation }: Hello): boolean {
    const current = this.peers.get(host)?.open?.peerHello;
    return current !== undefined && current.incarnation > incarnation;
  }

  /** Closes the connection in use if it is of an earlier start of its host. */
  private closeOlderStart({ host, incarnation }: Hello): void {
    const peer = this.peers.get(host);
    const old = peer?.open;
    if (peer === undefined || old?.peerHello === undefined) return;
    if (old.peerHello.incarnation >= incarnation) return;
    peer.open = undefined;
    old.close('restarted');
    this.reportClosed(peer, 'restarted');
  }

  private refuse(connection: Connection): void {
    this.counters.refused += 1;
    connection.close('hello is refused');
  }

  private getOtherHost(host: string, peer: Peer): string {
    return host === peer.host ? this.hello.host : peer.host;
  }

  private dial(peer: Peer): void {
    if (peer.dialling !== undefined || peer.address === '') return;
    peer.dialling = Connection.dial(peer.host, peer.address, this);
    this.connections.add(peer.dialling);
  }

  /** Reports the link as closed and schedules the next dial. */
  private handleLinkFailure(peer: Peer, reason: string): void {
    this.delayDial(peer, performance.now());
    this.reportClosed(peer, reason);
  }

  private delayDial(peer: Peer, now: number): void {
    const maxDelayMs = Math.min(RECONNECT_MAX_MS, RECONNECT_BASE_MS * 2 ** peer.failures);
    peer.failures = Math.min(peer.failures + 1, 16);
    peer.dialAt = now + maxDelayMs * (0.5 + this.random.getFraction() / 2);
  }

  private reportClosed(peer: Peer, reason: string): void {
    if (!peer.isReported) return;
    peer.isReported = false;
    if (!peer.isWanted) this.peers.delete(peer.host);
    this.options.onEvent({ type: 'linkClosed', host: peer.host, reason });
  }

  private checkConnections(): void {
    const now = performance.now();
    // After a pause of this process, bytes that the peers sent may be unread: the receive timeouts
    // start again.
    const wasPaused = now - this.checkedAt > LINK_HEARTBEAT_INTERVAL_MS;
    this.checkedAt = now;
    for (const connection of [...this.connections]) {
      if (wasPaused) connection.lastReceivedAt = now;
      this.checkConnection(connection, now);
    }
    for (const peer of this.peers.values()) {
      const isNeeded = peer.isWanted || peer.isReported;
      if (isNeeded && peer.open === undefined && peer.dialAt <= now) this.dial(peer);
    }
  }

  private checkConnection(connection: Connection, now: number): void {
    const { peerHello: hello } = connection;
    if (hello === undefined) {
      if (now - connection.createdAt > HANDSHAKE_TIMEOUT_MS) connection.close('silent');
      return;
    }
    if ((this.superseded.get(connection) ?? Infinity) <= now) {
      connection.close('superseded');
      return;
    }
    const sinceReceivedMs = now - connection.lastReceivedAt;
    if (sinceReceivedMs > RECEIVE_TIMEOUT_MS) {
      connection.close('silent');
      return;
    }
    const peer = this.peers.get(hello.host);
    if (sinceReceivedMs > PROBE_AFTER_MS && peer?.open === connection && peer.dialAt <= now) {
      peer.dialAt = now + HANDSHAKE_TIMEOUT_MS;
      this.dial(peer);
    }
    if (now - connection.lastSentAt >= LINK_HEARTBEAT_INTERVAL_MS - CHECK_INTERVAL_MS) {
      connection.write(encodeFrame(FRAME_KIND.heartbeat, 0));
    }
  }

  /** Encodes a message that goes to many hosts once. */
  private encode(message: Message): Buffer {
    if (this.encoded?.message !== message)
      this.encoded = { message, frame: encodeFrame(FRAME_KIND.message, message) };
    return this.encoded.frame;
  }

  private getPeer(host: string): Peer {
    const known = this.peers.get(host);
    if (known !== undefined) return known;
    const peer: Peer = {
      host,
      address: '',
      isWanted: false,
      open: undefined,
      dialling: undefined,
      isReported: false,
      failures: 0,
      dialAt: 0,
    };
    this.peers.set(host, peer);
    return peer;
  }
}
