import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as TcpServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';

/** Switches that every stand-in has; `POST /faults` changes those that its body names. */
export const CommonFaults = z.object({
  /** Delay before each call is executed, in ms. */
  slowMs: z.number().min(0).default(0),
  /** Answers each call with 503 and executes none. */
  down: z.boolean().default(false),
  /** Number of calls other than GET that are executed and then lose their answer. */
  effectWithoutAnswer: z.number().min(0).default(0),
});
export type CommonFaults = z.infer<typeof CommonFaults>;

export const ListenOptions = z.object({
  host: z.string().default('127.0.0.1'),
  /** 0 picks a free port. */
  port: z.int().min(0).max(65_535).default(0),
});

/** Part of the platform that tests and `quickstart` run in its place. */
export interface StandIn {
  /** Listens and returns `host:port`. */
  start(): Promise<string>;
  stop(): Promise<void>;
}

/** A call that a stand-in received. */
export interface ReceivedCall {
  method: string;
  /** Decoded path without the query. */
  path: string;
  /** Path and query as they were sent. */
  target: string;
  query: URLSearchParams;
  headers: IncomingMessage['headers'];
  body: string;
  response: ServerResponse;
}

/** The answer of a stand-in. */
export interface Reply {
  status: number;
  headers?: Record<string, string>;
  /** Sent as JSON unless it is a string. */
  body?: unknown;
}

/** Answers one call; undefined when the handler writes to the response itself. */
export type CallHandler = (call: ReceivedCall) => Reply | undefined | Promise<Reply | undefined>;

/** Returns the body of `call` as JSON, or undefined when it is none. */
export function parseJson(call: ReceivedCall): unknown {
  try {
    return JSON.parse(call.body) as unknown;
  } catch {
    return undefined;
  }
}

/** Listens on `host` and `port` and returns `host:port`. */
export async function listen(server: TcpServer, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Drops all connections of an HTTP server and refuses new ones. */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}

/** HTTP server of a stand-in, with its switches. */
export class StandInServer<F extends CommonFaults = CommonFaults> {
  private server: Server | undefined;
  private boundPort: number | undefined;

  private constructor(
    private readonly options: z.infer<typeof ListenOptions>,
    private readonly schema: z.ZodType<F>,
    public faults: F,
    private readonly handle: CallHandler,
  ) {}

  static create<F extends CommonFaults>(
    options: z.infer<typeof ListenOptions>,
    schema: z.ZodType<F>,
    handle: CallHandler,
  ): StandInServer<F> {
    return new StandInServer(options, schema, schema.parse({}), handle);
  }

  /** Listens; after a stop, on the same port as before. */
  async start(): Promise<string> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    const { host, port } = this.options;
    const address = await listen(this.server, host, this.boundPort ?? port);
    this.boundPort = (this.server.address() as AddressInfo).port;
    return address;
  }

  /** Drops all connections and refuses new ones. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  /** Changes the named switches; returns false when a value is invalid. */
  setFaults(change: unknown): boolean {
    const parsed = this.schema.safeParse({ ...this.faults, ...(change as object) });
    if (parsed.success) this.faults = parsed.data;
    return parsed.success;
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request, response);
    if (call.path === '/faults' && call.method === 'POST') {
      const isValid = this.setFaults(parseJson(call));
      sendReply(response, { status: isValid ? 200 : 400, body: this.faults });
      return;
    }
    const isControl = call.path === '/records';
    if (!isControl) {
      if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
      if (this.faults.down) {
        sendReply(response, { status: 503, body: { error: { message: 'down' } } });
        return;
      }
    }
    const reply = await this.handle(call);
    if (!isControl && call.method !== 'GET' && this.faults.effectWithoutAnswer > 0) {
      this.faults.effectWithoutAnswer--;
      response.destroy();
      return;
    }
    if (reply !== undefined) sendReply(response, reply);
  }
}

/** Reads a whole request. */
export async function readCall(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<ReceivedCall> {
  const parts: Uint8Array[] = [];
  for await (const part of request) parts.push(part as Uint8Array);
  const url = new URL(request.url ?? '/', 'http://stand-in');
  return {
    method: request.method ?? 'GET',
    path: decodeURIComponent(url.pathname),
    target: request.url ?? '/',
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(parts).toString(),
    response,
  };
}

/** Answers once; does nothing on a closed or answered response. */
export function sendReply(response: ServerResponse, { status, headers, body }: Reply): void {
  if (response.destroyed || response.headersSent) return;
  const isText = typeof body === 'string';
  response.writeHead(status, {
    'content-type': isText ? 'text/plain' : 'application/json',
    ...headers,
  });
  response.end(body === undefined ? undefined : isText ? body : JSON.stringify(body));
}
