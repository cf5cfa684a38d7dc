import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as TcpServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';

/** Fault settings of every stand-in; `POST /faults` updates those that its body contains. */
export const CommonFaults = z.object({
  /** Delay in ms before each call is executed. */
  slowMs: z.number().min(0).default(0),
  /** Answers each call with 503 without executing it. */
  down: z.boolean().default(false),
  /** Number of further calls other than GET that are executed but get no answer: the connection closes. */
  effectWithoutAnswer: z.number().min(0).default(0),
});
export type CommonFaults = z.infer<typeof CommonFaults>;

/** Address that a stand-in listens on. */
export const ListenOptions = z.object({
  host: z.string().default('127.0.0.1'),
  /** 0 picks a free port. */
  port: z.int().min(0).max(65_535).default(0),
});

/** Simulated part of the platform, run by tests and by `quickstart`. */
export interface StandIn {
  /** Listens and returns `host:port`. */
  start(): Promise<string>;
  stop(): Promise<void>;
}

/** An HTTP request that a stand-in received. */
export interface ReceivedCall {
  method: string;
  /** Decoded path, without the query. */
  path: string;
  /** Path and query as sent. */
  target: string;
  query: URLSearchParams;
  headers: IncomingMessage['headers'];
  body: string;
  response: ServerResponse;
}

/** Answer of a stand-in. */
export interface Reply {
  status: number;
  headers?: Record<string, string>;
  /** Sent as JSON unless it is a string. */
  body?: unknown;
}

/** Answers one call; returns undefined when it writes to the response itself. */
export type CallHandler = (call: ReceivedCall) => Reply | undefined | Promise<Reply | undefined>;

/** Parses the body of `call`; returns undefined when it is not valid JSON. */
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

/** Stops listening and closes all connections of an HTTP server. */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}

/** HTTP server of a stand-in, with its fault settings. */
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

  /** Listens; a restart uses the same port as before. */
  async start(): Promise<string> {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    const { host, port } = this.options;
    const address = await listen(this.server, host, this.boundPort ?? port);
    this.boundPort = (this.server.address() as AddressInfo).port;
    return address;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  /** Updates the given fault settings; returns false and changes none when a value is invalid. */
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
    const isRecordsCall = call.path === '/records';
    if (!isRecordsCall) {
      if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
      if (this.faults.down) {
        sendReply(response, {
          status: 503,
          body: { error: { message: 'fault setting "down" is on' } },
        });
        return;
      }
    }
    const reply = await this.handle(call);
    if (!isRecordsCall && call.method !== 'GET' && this.faults.effectWithoutAnswer > 0) {
      this.faults.effectWithoutAnswer--;
      response.destroy();
      return;
    }
    if (reply !== undefined) sendReply(response, reply);
  }
}

/** Reads a request including its body. */
export async function readCall(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<ReceivedCall> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) chunks.push(chunk as Uint8Array);
  const url = new URL(request.url ?? '/', 'http://stand-in');
  return {
    method: request.method ?? 'GET',
    path: decodeURIComponent(url.pathname),
    target: request.url ?? '/',
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(chunks).toString(),
    response,
  };
}

/** Sends `reply` unless the response is closed or its headers are sent. */
export function sendReply(response: ServerResponse, { status, headers, body }: Reply): void {
  if (response.destroyed || response.headersSent) return;
  const isText = typeof body === 'string';
  response.writeHead(status, {
    'content-type': isText ? 'text/plain' : 'application/json',
    ...headers,
  });
  response.end(body === undefined ? undefined : isText ? body : JSON.stringify(body));
}
