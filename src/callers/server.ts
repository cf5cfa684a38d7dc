import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import createRouter, { type HTTPMethod, type HTTPVersion, type Instance } from 'find-my-way';
import { newCount, newLog } from '../core/observations.ts';
import type { Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';
import { findAccessKey } from '../http/accessKey.ts';
import { type Reading, type RunningServer, startServer } from '../http/httpServer.ts';
import { sendFailure } from '../http/reply.ts';
import { newTraceContext, parseTraceparent } from '../observe/traceparent.ts';
import { parseRequestHeaders } from './requestHeaders.ts';
import type { CallerHost, RequestContext, Route } from './types.ts';
import { routes } from './routes/index.ts';

type Router = Instance<HTTPVersion.V1>;
type Params = Record<string, string | undefined>;

const ALL_METHODS = [...new Set(routes.flatMap(getMethods))];

/** HTTP server of the callers' API. */
export class CallerServer {
  private server: RunningServer | undefined;

  private constructor(
    private readonly host: CallerHost,
    private readonly router: Router,
  ) {}

  static create(host: CallerHost): CallerServer {
    const router = createRouter({
      ignoreTrailingSlash: true,
      defaultRoute: (request, response) => answerUnknownRoute(router, request, response),
      onBadUrl: (path, _request, response) => {
        const message = `path ${path} is not validly percent-encoded`;
        sendFailure(response, Failure.create('bad_request', message, { param: 'path' }));
      },
    });
    const server = new CallerServer(host, router);
    for (const route of routes) server.addRoute(route);
    return server;
  }

  /** Starts listening and returns the port. */
  async start(): Promise<number> {
    const { settings, backlog, arrivals, pollClock, observer, memory } = this.host;
    const { listen, limits } = settings;
    this.server = await startServer(
      (request, response, reading) =>
        this.router.lookup(request, response, reading) as void | Promise<void>,
      listen.callers,
      limits,
      {
        backlog,
        arrivals,
        pollClock,
        onHead: (request) => void this.readBody(request),
        getWaitMs: ({ headers }) => {
          const parsed = parseRequestHeaders(headers, limits, 0);
          return parsed.ok ? parsed.val.remainingMs : Infinity;
        },
        onRejected: (_request, failure) => this.observeRejection(failure),
        onClosed: () => observer.observe(newCount('fireflywick_closed_connections_total', {})),
      },
      memory.connectionLimit,
    );
    return this.server.port;
  }

  /** Stops accepting connections and resolves when all have ended. */
  async stop(): Promise<void> {
    await this.server?.stop();
  }

  private addRoute(route: Route): void {
    const { path } = route;
    // The router calls handlers with the context of the lookup as `this`.
    const handle = (
      reading: Reading,
      request: IncomingMessage,
      response: ServerResponse,
      params: Params,
    ): Promise<void> => this.handle(route, { request, response, reading, params });
    this.router.on(
      getMethods(route),
      path,
      function (this: Reading, request, response, params: Params) {
        return handle(this, request, response, params);
      },
    );
  }

  private readBody(request: IncomingMessage): Promise<Result<Buffer, Failure>> {
    const { memory, settings } = this.host;
    const { bodyBytes: maxBytes, slowSenderMs: timeoutMs } = settings.limits;
    return memory.readBody(request, { maxBytes, timeoutMs });
  }

  private observeRejection({ kind: result, message: reason }: Failure): void {
    const { observer } = this.host;
    const labels = { firm: '', kind: 'ordinary', result };
    observer.observe(newCount('fireflywick_requests_total', labels));
    observer.observe(newLog('info', 'request refused', { result, reason }));
  }

  private async handle(
    route: Route,
    {
      request,
      response,
      reading,
      params,
    }: Pick<RequestContext, 'request' | 'response' | 'reading' | 'params'>,
  ): Promise<void> {
    const id = randomUUID();
    response.setHeader('x-request-id', id);
    // Makes the caller reconnect, so that the balancer routes its next request to another host.
    if (this.host.state.phase !== 'running') response.setHeader('connection', 'close');
    const key = findAccessKey(
      this.host.settings.access.keys,
      request.headers.authorization,
      'caller',
    );
    if (key === undefined) {
      const message = 'header Authorization carries no valid caller key';
      sendFailure(response, Failure.create('unauthorized', message), getUnreadHeaders(request));
      return;
    }
    const trace = newTraceContext(parseTraceparent(getTraceHeader(request)));
    try {
      const readBody = () => this.readBody(request);
      const { host } = this;
      await route.handle({ id, trace, request, response, reading, readBody, key, params, host });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      sendFailure(response, Failure.create('internal', `request ${id} failed: ${reason}`));
    }
  }
}

/** Returns the header that ends a connection on which the rest of a refused body would have to be read. */
function getUnreadHeaders({ complete }: IncomingMessage): Record<string, string> {
  return complete ? {} : { connection: 'close' };
}

function getTraceHeader({ headers }: IncomingMessage): string | undefined {
  return typeof headers.traceparent === 'string' ? headers.traceparent : undefined;
}

function getMethods({ method }: Route): HTTPMethod[] {
  const methods = typeof method === 'string' ? [method] : method;
  return [...new Set(methods.flatMap((name) => (name === 'GET' ? [name, 'HEAD' as const] : name)))];
}

/** Answers `OPTIONS`, unknown paths (404) and methods that a path doesn't support (405). */
function answerUnknownRoute(
  router: Router,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const allowed = ALL_METHODS.filter((method) => router.find(method, path) !== null);
  if (allowed.length === 0) {
    const failure = Failure.create('not_found', `path ${path} does not exist`);
    sendFailure(response, failure, getUnreadHeaders(request));
    return;
  }
  response.setHeader('allow', [...allowed, 'OPTIONS'].join(', '));
  if (request.method === 'OPTIONS') {
    response.writeHead(204).end();
    return;
  }
  const message = `${request.method ?? ''} is not allowed on ${path}`;
  sendFailure(response, Failure.create('method_not_allowed', message));
}
