import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { type ReceivedCall, closeServer, listen, readCall, type StandIn } from '../server.ts';

/** How an endpoint treats one request. */
export type EndpointBehaviour =
  | 'serve'
  /** Answers with 500. */
  | 'fail'
  /** Answers with 503 and states that it did not execute the request. */
  | 'shed'
  /** Answers with the id of another attempt. */
  | 'wrongAttempt'
  /** Answers without the response seal, which proves that the endpoint itself answered. */
  | 'unsealed'
  /** Closes the connection within the body. */
  | 'truncate'
  /** Closes the connection before the answer. */
  | 'reset'
  /** Never answers. */
  | 'hang'
  /** Sends a second answer after the first. */
  | 'extra'
  /** Answers without a content length and closes the connection gracefully. */
  | 'unframed'
  /** Answers without a content length and resets the connection within the body, after a delay or at once. */
  | 'unframedReset'
  | 'unframedResetAtOnce'
  /** Answers with 503 before it reads the body; states that it did not execute the request. */
  | 'early'
  /** Closes the connection after half of the events of a stream, within an event. */
  | 'breakStream'
  /** Sends bytes until the connection is closed: before the head, as headers, after a head without a length. */
  | 'endlessBytes'
  | 'endlessHeaders'
  | 'endlessBody'
  /** The same with comments or empty lines after the head of a stream. */
  | 'endlessComments'
  | 'endlessLines'
  /** The same after a head which states that the request was not executed. */
  | 'endlessShed';

interface Options {
  id: string;
  /** Adapter slots; 0 for an endpoint without adapters. */
  slots?: number;
  /** Duration of an adapter load in ms. */
  loadMs?: number;
  /** Number of events of a stream, and the time between two of them in ms. */
  events?: number;
  gapMs?: number;
  /** Refuses orders with a lower fencing number than the highest one received. */
  checksFencing?: boolean;
}

/** What an endpoint sends before bytes without end, and the bytes that it repeats. */
const ENDLESS: Partial<Record<EndpointBehaviour, { head: string; repeated: string }>> = {
  endlessBytes: { head: '', repeated: 'x'.repeat(16_384) },
  endlessHeaders: {
    head: 'HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-seal: s\r\n',
    repeated: `x-more: ${'x'.repeat(1_000)}\r\n`.repeat(16),
  },
  endlessBody: {
    head: 'HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-seal: s\r\n\r\n',
    repeated: 'x'.repeat(16_384),
  },
  endlessComments: {
    head: 'HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-seal: s\r\n\r\n',
    repeated: ': alive\n\n'.repeat(1_024),
  },
  endlessLines: {
    head: 'HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-seal: s\r\n\r\n',
    repeated: '\n'.repeat(16_384),
  },
  endlessShed: {
    head: 'HTTP/1.1 503 Full\r\nattempt-id: ATTEMPT\r\nnot-executed: 1\r\n\r\n',
    repeated: 'x'.repeat(16_384),
  },
};

/** Request that an endpoint received, apart from orders and reports. */
export interface EndpointCall {
  method: string;
  target: string;
  headers: IncomingMessage['headers'];
  body: string;
  /** Monotonic ms. */
  arrivedAt: number;
  isExecuted: boolean;
  /** Whether the connection closed before the answer was complete. */
  isCancelled: boolean;
}

const Order = z.object({
  operation: z.enum(['model_load', 'model_unload']),
  model: z.string(),
  adapter: z.string(),
  version: z.int().optional(),
  expectedRev: z.int().optional(),
  holder: z.string(),
  fence: z.int(),
});
type Order = z.infer<typeof Order>;

/** Order that an endpoint received, with the HTTP status of its answer and monotonic ms of its arrival. */
export interface ReceivedOrder extends Order {
  status: number;
  arrivedAt: number;
}

/** Endpoint of the platform: executes requests, and holds adapters when it has slots. */
export class PlatformEndpoint implements StandIn {
  readonly calls: EndpointCall[] = [];
  readonly orders: ReceivedOrder[] = [];
  /** Monotonic ms at which its report was read. */
  readonly reportedAt: number[] = [];
  /** Behaviours of the next requests, in order; later requests are served. */
  readonly plannedBehaviours: EndpointBehaviour[] = [];
  /** Values of the header that names a limit on requests, in each answer. */
  namedLimits: string[] = [];
  /** Whether the endpoint says in all its answers that it leaves. */
  isLeaving = false;
  /** Values of `Retry-After` with which it turns all requests and orders away; empty while it serves. */
  retryAfter: string[] = [];
  /** Version of each resident adapter, by `model/adapter`. */
  readonly adapters = new Map<string, number>();
  /** Bytes sent on connections that are sent bytes without end, and how many of these are open. */
  endlessBytes = 0;
  openEndless = 0;
  /** Maximum number of adapters that were resident or loading at once. */
  peakAdapters = 0;
  id: string;
  private readonly loadingVersions = new Map<string, number>();
  private readonly announcedVersions = new Map<string, number>();
  private sequence = 0;
  private fence = 0;
  private server: Server | undefined;
  private port = 0;

  private constructor(private readonly options: Required<Options>) {
    this.id = options.id;
  }

  static create(options: Options): PlatformEndpoint {
    return new PlatformEndpoint({
      slots: 0,
      loadMs: 20,
      events: 4,
      gapMs: 2,
      checksFencing: true,
      ...options,
    });
  }

  async start(): Promise<string> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    // Long, so that idle connections stay open until a test closes them, which callers have to detect.
    this.server.keepAliveTimeout = 60_000;
    const address = await listen(this.server, '127.0.0.1', this.port);
    this.port = Number(address.split(':')[1]);
    return address;
  }

  /** Address at which it listens, once it was started. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  /** Sets the version that later loads of `adapter` fetch. */
  announce(adapter: string, version: number): void {
    this.announcedVersions.set(adapter, version);
  }

  /** Simulates a restart: a new instance id and no adapters. */
  restart(id: string): void {
    this.id = id;
    this.adapters.clear();
    this.loadingVersions.clear();
    this.sequence = 0;
    this.fence = 0;
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const isEarly = this.plannedBehaviours[0] === 'early' && request.url !== '/-/order';
    if (isEarly) {
      this.plannedBehaviours.shift();
      const body = 'x'.repeat(64);
      response.writeHead(503, { 'not-executed': '1', ...this.getResponseHeaders(request, body) });
      response.end(body);
      return;
    }
    const call = await readCall(request, response);
    const expected = call.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      const identity = this.getIdentityHeaders(call);
      response.writeHead(421, { ...identity, 'instance-id': this.id }).end();
      return;
    }
    if (call.path === '/-/order') this.handleOrder(call);
    else if (call.path === '/-/report') this.handleReport(call);
    else if (call.path === '/health')
      call.response.writeHead(200, { 'instance-id': this.id }).end();
    else await this.handleCall(call);
  }

  private handleOrder(call: ReceivedCall): void {
    const order = Order.parse(JSON.parse(call.body));
    const status = this.retryAfter.length > 0 ? 503 : this.executeOrder(order);
    this.orders.push({ ...order, status, arrivedAt: performance.now() });
    call.response.writeHead(status, this.getNoticeHeaders()).end();
  }

  private executeOrder(order: Order): number {
    const adapter = `${order.model}/${order.adapter}`;
    if (this.options.checksFencing && order.fence < this.fence) return 412;
    this.fence = Math.max(this.fence, order.fence);
    if (order.operation === 'model_load' && this.loadingVersions.has(adapter)) return 202;
    const version = order.version ?? this.announcedVersions.get(adapter) ?? 1;
    if (order.operation === 'model_load' && this.adapters.get(adapter) === version) return 200;
    if (order.expectedRev !== undefined && order.expectedRev !== this.sequence) return 409;
    this.sequence += 1;
    if (order.operation === 'model_unload') {
      this.adapters.delete(adapter);
      return 200;
    }
    this.loadingVersions.set(adapter, version);
    this.peakAdapters = Math.max(this.peakAdapters, this.adapters.size + this.loadingVersions.size);
    setTimeout(() => {
      if (this.loadingVersions.get(adapter) !== version) return;
      this.loadingVersions.delete(adapter);
      this.adapters.set(adapter, version);
    }, this.options.loadMs);
    return 202;
  }

  private handleReport(call: ReceivedCall): void {
    this.reportedAt.push(performance.now());
    const models = new Map<string, string[]>([['base', []]]);
    for (const [adapter, version] of this.adapters) {
      const [model = '', name = ''] = adapter.split('/');
      models.set(model, [...(models.get(model) ?? []), `${name}@${version}`]);
    }
    const body = {
      seq: this.sequence,
      models: [...models].map(([name, adapters]) => ({ name, version: 1, adapters })),
      coming: [...this.loadingVersions].map(([adapter, version]) => `${adapter}@${version}`),
    };
    const headers = { 'content-type': 'application/json', ...this.getNoticeHeaders() };
    call.response.writeHead(200, headers).end(JSON.stringify(body));
  }

  private async handleCall(call: ReceivedCall): Promise<void> {
    const served: EndpointCall = {
      method: call.method,
      target: call.target,
      headers: call.headers,
      body: call.body,
      arrivedAt: performance.now(),
      isExecuted: false,
      isCancelled: false,
    };
    this.calls.push(served);
    call.response.once('close', () => {
      if (!call.response.writableFinished) served.isCancelled = true;
    });
    if (this.retryAfter.length > 0) {
      await this.respond(call, 'shed');
      return;
    }
    const model = call.headers.model;
    if (this.options.slots > 0 && typeof model === 'string' && model.includes('/')) {
      const wanted = call.headers['expect-version'];
      const held = this.adapters.get(model);
      if (held === undefined || (wanted !== undefined && Number(wanted) !== held)) {
        const identity = this.getIdentityHeaders(call);
        const headers = { ...identity, 'not-executed': '1', 'instance-id': this.id };
        call.response.writeHead(421, headers).end();
        return;
      }
    }
    const behaviour = this.plannedBehaviours.shift() ?? 'serve';
    served.isExecuted = behaviour !== 'shed';
    await this.respond(call, behaviour);
  }

  private async respond(call: ReceivedCall, behaviour: EndpointBehaviour): Promise<void> {
    const { response } = call;
    const body = `${this.id} answers ${call.method} ${call.target}`;
    const headers = this.getResponseHeaders(call, body);
    const isStream = call.headers.model !== undefined;
    const endless = ENDLESS[behaviour];
    if (endless !== undefined) {
      this.sendEndlessly(
        call,
        endless.head.replace('ATTEMPT', headers['attempt-id']),
        endless.repeated,
      );
      return;
    }
    switch (behaviour) {
      case 'shed':
        response.writeHead(503, { ...headers, 'not-executed': '1' }).end(body);
        return;
      case 'reset':
        response.destroy();
        return;
      case 'hang':
        return;
      case 'fail':
        response.writeHead(500, headers).end(body);
        return;
      case 'wrongAttempt':
        response.writeHead(200, { ...headers, 'attempt-id': 'other' }).end(body);
        return;
      case 'unsealed':
        response.writeHead(200, { ...headers, 'response-seal': [] }).end(body);
        return;
      case 'truncate':
        response.writeHead(200, headers);
        response.write(body.slice(0, 5));
        setTimeout(() => response.destroy(), 5);
        return;
      case 'unframed':
        response.socket?.end(
          `HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nresponse-seal: s\r\n\r\n${body}`,
        );
        return;
      case 'unframedReset':
      case 'unframedResetAtOnce':
        response.socket?.write(
          `HTTP/1.1 200 OK\r\nattempt-id: ${headers['attempt-id']}\r\nresponse-seal: s\r\n\r\n${body.slice(0, 5)}`,
        );
        if (behaviour === 'unframedResetAtOnce') response.socket?.resetAndDestroy();
        else setTimeout(() => response.socket?.resetAndDestroy(), 20);
        return;
      case 'extra':
        response.writeHead(200, headers).end(body);
        response.socket?.write(
          'HTTP/1.1 200 OK\r\nattempt-id: other\r\nresponse-seal: s\r\ncontent-length: 2\r\n\r\nno',
        );
        return;
      default:
        if (isStream) await this.streamEvents(call, behaviour === 'breakStream');
        else response.writeHead(200, headers).end(body);
    }
  }

  /** Sends `repeated` until the connection is closed, as fast as the other side reads. */
  private sendEndlessly({ response }: ReceivedCall, head: string, repeated: string): void {
    const { socket } = response;
    if (socket === null) return;
    socket.on('error', () => undefined);
    socket.write(head);
    const send = (): void => {
      while (!socket.destroyed) {
        this.endlessBytes += repeated.length;
        if (!socket.write(repeated)) return;
      }
    };
    socket.on('drain', send);
    socket.once('close', () => (this.openEndless -= 1));
    this.openEndless += 1;
    send();
  }

  private async streamEvents(call: ReceivedCall, isBroken: boolean): Promise<void> {
    const { response } = call;
    const { events, gapMs } = this.options;
    const last = Number(call.headers['last-event-id'] ?? 0);
    response.writeHead(200, {
      ...this.getIdentityHeaders(call),
      'content-type': 'text/event-stream',
    });
    for (let id = last + 1; id <= events; id++) {
      await sleep(gapMs);
      if (response.destroyed) return;
      if (isBroken && id === Math.ceil(events / 2) + 1) {
        response.write(`id: ${id}\ndata: cut`);
        setTimeout(() => response.destroy(), 2);
        return;
      }
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
    }
    response.end();
  }

  private getResponseHeaders(call: { headers: IncomingMessage['headers'] }, body: string) {
    return {
      ...this.getIdentityHeaders(call),
      'content-length': String(Buffer.byteLength(body)),
    };
  }

  private getIdentityHeaders(call: { headers: IncomingMessage['headers'] }) {
    const attempt = call.headers['attempt-id'];
    return {
      'attempt-id': typeof attempt === 'string' ? attempt : '',
      'response-seal': `seal-${this.id}`,
      ...this.getNoticeHeaders(),
    };
  }

  /** Returns the headers that say something of the endpoint itself. */
  private getNoticeHeaders(): Record<string, string | string[]> {
    return {
      'server-limit': this.namedLimits,
      ...(this.isLeaving ? { 'server-leaving': '1' } : {}),
      ...(this.retryAfter.length > 0 ? { 'retry-after': this.retryAfter } : {}),
    };
  }
}
