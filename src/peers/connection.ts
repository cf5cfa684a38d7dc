import { connect, type Socket } from 'node:net';
import { splitAddress } from '../clients/address.ts';
import { MAX_FRAME_BYTES, MAX_HELLO_BYTES } from './constants.ts';
import { decodeFrameBody, encodeFrame, FRAME_KIND, FrameReader } from './frames.ts';
import { Hello } from './hello.ts';

/** Counts of bytes and errors over all connections of a host. */
export interface PeerCounters {
  sentBytes: number;
  receivedBytes: number;
  /** Received frames that cannot be decoded and messages that the schema rejects. */
  malformed: number;
  /** Messages that were not sent: no link, send buffer full or frame too large. */
  dropped: number;
  /** Connections closed because of a frame over the limit or a malformed or rejected hello. */
  refused: number;
}

/** Callbacks and shared values that a connection gets from the links it belongs to. */
export interface ConnectionOwner {
  /** Local IP address of dialled connections; chosen by the operating system when undefined. */
  readonly localAddress: string | undefined;
  readonly counters: PeerCounters;
  readonly hello: Hello;
  onHello(connection: Connection, hello: Hello): void;
  /** Called once after `onHello`, when the peer has received the hello of this host. */
  onConfirmed(connection: Connection, hello: Hello): void;
  onMessage(connection: Connection, content: unknown): void;
  onClosed(connection: Connection, reason: string): void;
  /** Called instead of `onHello` with a connection that another host wants to be relayed. */
  onRelayRequested(connection: Connection, socket: Socket, content: unknown): void;
}

/** One TCP connection to another host. */
export class Connection {
  readonly createdAt = performance.now();
  lastReceivedAt = this.createdAt;
  lastSentAt = this.createdAt;
  /** Hello of the peer; undefined until it is received. */
  peerHello: Hello | undefined;
  private readonly reader = FrameReader.create();
  private isClosed = false;
  private isConfirmed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly owner: ConnectionOwner,
    /** Host that this side dialled; undefined for an accepted connection. */
    readonly dialledHost: string | undefined,
  ) {}

  static accept(socket: Socket, owner: ConnectionOwner): Connection {
    const connection = new Connection(socket, owner, undefined);
    connection.attach();
    return connection;
  }

  static dial(host: string, address: string, owner: ConnectionOwner): Connection {
    const socket = connect({ ...splitAddress(address), localAddress: owner.localAddress });
    const connection = new Connection(socket, owner, host);
    connection.attach();
    return connection;
  }

  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  write(frame: Buffer): void {
    if (this.isClosed) return;
    this.owner.counters.sentBytes += frame.length;
    this.lastSentAt = performance.now();
    this.socket.write(frame);
  }

  /** Closes the socket once all written data is sent, at the latest after `limitMs`. */
  async flush(limitMs: number): Promise<void> {
    if (this.isClosed) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.socket.end(() => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.close('stopped');
  }

  /** Closes the socket. Calls `onClosed` only once, with the first reason. */
  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.owner.onClosed(this, reason);
  }

  private readonly onData = (chunk: Buffer): void => this.readChunk(chunk);
  private readonly onError = (error: NodeJS.ErrnoException): void =>
    this.close(error.code === 'ECONNREFUSED' ? 'refused' : 'ended');
  private readonly onClose = (): void => this.close('ended');

  private attach(): void {
    this.socket.setNoDelay(true);
    this.socket.on('data', this.onData);
    this.socket.on('error', this.onError);
    this.socket.on('close', this.onClose);
    this.write(encodeFrame(FRAME_KIND.hello, this.owner.hello));
  }

  private readChunk(chunk: Buffer): void {
    this.owner.counters.receivedBytes += chunk.length;
    this.lastReceivedAt = performance.now();
    const limit = this.peerHello === undefined ? MAX_HELLO_BYTES : MAX_FRAME_BYTES;
    const bodies = this.reader.push(chunk, limit);
    if (bodies === undefined) {
      this.refuse('frame is too large');
      return;
    }
    for (const body of bodies) {
      if (this.isClosed) return;
      this.readBody(body);
    }
  }

  private readBody(body: Buffer): void {
    const frame = decodeFrameBody(body);
    if (this.peerHello === undefined) {
      if (frame?.kind === FRAME_KIND.relayRequest && this.dialledHost === undefined) {
        this.releaseSocket(frame.content);
        return;
      }
      const hello = Hello.safeParse(frame?.kind === FRAME_KIND.hello ? frame.content : undefined);
      if (!hello.success) {
        this.refuse('hello is malformed');
        return;
      }
      this.peerHello = hello.data;
      // Tells the peer that its hello arrived.
      this.write(encodeFrame(FRAME_KIND.heartbeat, 0));
      this.owner.onHello(this, hello.data);
      return;
    }
    this.confirm(this.peerHello);
    if (this.isClosed) return;
    if (frame === undefined) this.owner.counters.malformed += 1;
    else if (frame.kind === FRAME_KIND.message) this.owner.onMessage(this, frame.content);
  }

  /** Hands the socket of an accepted connection over, which is no link to another host. */
  private releaseSocket(content: unknown): void {
    const { socket } = this;
    this.isClosed = true;
    socket.pause();
    socket.off('data', this.onData).off('error', this.onError).off('close', this.onClose);
    this.owner.onRelayRequested(this, socket, content);
  }

  /** Any frame after the hello shows that bytes of this host reach the peer, as peers send none before. */
  private confirm(hello: Hello): void {
    if (this.isConfirmed) return;
    this.isConfirmed = true;
    this.owner.onConfirmed(this, hello);
  }

  private refuse(reason: string): void {
    this.owner.counters.refused += 1;
    this.close(reason);
  }
}
