import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST } from '../gatewayHost/deployment.ts';

/** How a caller leaves: it closes its connection gracefully, or by a reset. */
export type Departure = 'fin' | 'reset';

/** One request of a caller. */
export interface CallerAttempt {
  id: string;
  /** Status of the response; 0 if none arrived before the caller left. */
  status: number;
  sentAt: number;
  /** Monotonic ms at which the caller closed its connection or received the whole head of a response. */
  endedAt: number;
  hasLeft: boolean;
}

/** A connection on which a caller sends raw requests and from which it may leave at any time. */
export class DepartingCaller {
  private received = '';
  private isClosed = false;

  private onChanged: () => void = () => undefined;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (chunk) => {
      this.received += chunk.toString('latin1');
      this.onChanged();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isClosed = true;
      this.onChanged();
    });
  }

  static create(port: number, host = '127.0.0.1'): DepartingCaller {
    return new DepartingCaller(connect({ host, port, noDelay: true }));
  }

  /** Sends a request and waits for its response for `waitMs`, then leaves. */
  async send(options: {
    id: string;
    path: string;
    waitMs: number;
    method?: string;
    body?: string;
    /** Headers beside those that name the caller's attempt and its time. */
    headers?: Record<string, string>;
    departure?: Departure;
  }): Promise<CallerAttempt> {
    const { id, path, waitMs, method = 'POST', body = '', departure = 'fin' } = options;
    this.received = '';
    const sentAt = performance.now();
    const headers = {
      host: HOST,
      'attempt-id': id,
      'deadline-ms': waitMs,
      'content-length': body.length,
      ...options.headers,
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
    const hasLeft = !(await this.waitForResponse(waitMs));
    if (hasLeft) this.leave(departure);
    return { id, status: this.status, sentAt, endedAt: performance.now(), hasLeft };
  }

  /** Closes the connection. */
  leave(departure: Departure): void {
    if (departure === 'reset') this.socket.resetAndDestroy();
    else this.socket.destroy();
  }

  /** Returns false if neither a response nor the end of the connection arrives within `waitMs`. */
  private waitForResponse(waitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), waitMs);
      this.onChanged = () => {
        if (this.status === 0 && !this.isClosed) return;
        clearTimeout(timer);
        resolve(true);
      };
    });
  }

  private get status(): number {
    return Number(/^HTTP\/1\.1 (\d+)[^]*\r\n\r\n/.exec(this.received)?.[1] ?? 0);
  }
}

/** Sends a request on a new connection and closes it. */
export async function sendOnce(
  port: number,
  options: Parameters<DepartingCaller['send']>[0],
): Promise<CallerAttempt> {
  const caller = DepartingCaller.create(port);
  const attempt = await caller.send(options);
  caller.leave('fin');
  return attempt;
}

/** Sends requests at `perS` a second for `durationMs`, each on a new connection. */
export async function sendAtRate(
  port: number,
  { perS, durationMs, waitMs }: { perS: number; durationMs: number; waitMs: number },
): Promise<CallerAttempt[]> {
  const startedAt = performance.now();
  const attempts: Promise<CallerAttempt>[] = [];
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAt) {
    while (attempts.length < (elapsedMs * perS) / 1_000) {
      const id = `open-${attempts.length}`;
      attempts.push(sendOnce(port, { id, path: '/booking/1', waitMs }));
    }
    await sleep(2);
  }
  return Promise.all(attempts);
}

/** Sends requests one after the other from `callers` callers, and returns those that were served a second. */
export async function measureCapacity(
  port: number,
  { callers, durationMs }: { callers: number; durationMs: number },
): Promise<number> {
  const until = performance.now() + durationMs;
  const served = await Promise.all(
    Array.from({ length: callers }, async (_, caller) => {
      let count = 0;
      while (performance.now() < until) {
        const id = `closed-${caller}-${count}`;
        const { status } = await sendOnce(port, { id, path: '/booking/1', waitMs: 10_000 });
        if (status === 200) count += 1;
      }
      return count;
    }),
  );
  return (served.reduce((sum, count) => sum + count, 0) / durationMs) * 1_000;
}
