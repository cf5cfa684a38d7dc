import type { Socket } from 'node:net';

/** Interval at which the progress of connections is recorded. */
const PROGRESS_INTERVAL_MS = 500;

/** A connection that may be closed in favour of a new one. */
interface LimitedConnection {
  socket: Socket;
  /** Whether a request that has arrived is being served. */
  isServing: () => boolean;
  /** Bytes that were read and written when progress was last recorded, and the monotonic ms of the last progress. */
  bytes: number;
  progressAt: number;
}

/**
 * Limits the connections of callers. Beyond the limit, a new one takes the place of the one that has made no
 * progress for the longest time: callers that open connections and keep them idle leave room for others.
 */
export class ConnectionLimit {
  private readonly connections = new Set<LimitedConnection>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly maxConnections: number,
    private readonly onClosed: () => void,
  ) {}

  /** `onClosed` is called for each connection that is closed because of the limit. */
  static create(maxConnections: number, onClosed: () => void = () => undefined): ConnectionLimit {
    return new ConnectionLimit(maxConnections, onClosed);
  }

  /** Adds a connection; returns false if there is no room for it, after closing it. */
  add(socket: Socket, isServing: () => boolean): boolean {
    if (this.connections.size >= this.maxConnections && !this.closeStalest()) {
      this.close(socket);
      return false;
    }
    const connection = { socket, isServing, bytes: 0, progressAt: performance.now() };
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
    this.timer ??= setInterval(() => this.recordProgress(), PROGRESS_INTERVAL_MS).unref();
    return true;
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private closeStalest(): boolean {
    let stalest: LimitedConnection | undefined;
    for (const connection of this.connections) {
      if (connection.isServing()) continue;
      if (stalest === undefined || connection.progressAt < stalest.progressAt) stalest = connection;
    }
    if (stalest === undefined) return false;
    this.connections.delete(stalest);
    this.close(stalest.socket);
    return true;
  }

  private close(socket: Socket): void {
    socket.destroy();
    this.onClosed();
  }

  private recordProgress(): void {
    const now = performance.now();
    for (const connection of this.connections) {
      const { bytesRead, bytesWritten } = connection.socket;
      const bytes = bytesRead + bytesWritten;
      if (bytes === connection.bytes) continue;
      connection.bytes = bytes;
      connection.progressAt = now;
    }
  }
}
