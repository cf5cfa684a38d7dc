import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import createRouter, { type HTTPMethod, type HTTPVersion, type Instance } from 'find-my-way';
import { Failure } from '../errors/failure.ts';
import { findAccessKey } from '../http/accessKey.ts';
import { type RunningServer, startServer } from '../http/httpServer.ts';
import { sendFailure } from '../http/reply.ts';
import { newTraceContext, parseTraceparent } from '../observe/traceparent.ts';
import type { CallerHost, Route } from './types.ts';
import { routes } from './routes/index.ts';

type Router = Instance<HTTPVersion.V1>;

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
    const { listen, limits } = this.host.settings;
    this.server = await startServer(
      (request, response) => this.router.lookup(request, response) as void | Promise<void>,
      listen.callers,
      limits,
    );
    return this.server.port;
  }

  /** Stops accepting connections and resolves when all have ended. */
  async stop(): Promise<void> {
    await this.server?.stop();
  }

  private addRoute(route: Route): void {
    this.router.on(getMethods(route), route.path, (request, response, params) =>
      this.handle(route, request, response, params),
    );
  }

  private async handle(
    route: Route,
    request: IncomingMessage,
    response: ServerResponse,
    params: Record<string, string | undefined>,
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
      sendFailure(response, Failure.create('unauthorized', message));
      return;
    }
    const trace = newTraceContext(parseTraceparent(getTraceHeader(request)));
    try {
      await route.handle({ id, trace, request, response, key, params, host: this.host });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      sendFailure(response, Failure.create('internal', `request ${id} failed: ${reason}`));
    }
  }
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
    sendFailure(response, Failure.create('not_found', `path ${path} does not exist`));
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
