import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import createRouter, { type HTTPVersion, type Instance } from 'find-my-way';
import type { DraftListAnswer, DraftReadAnswer } from '../drafts/types.ts';
import { Failure, getFailureBody } from '../errors/failure.ts';
import { getErrorResponse } from '../errors/kinds.ts';
import { findAccessKey } from '../http/accessKey.ts';
import { ConnectionLimit } from '../http/connectionLimit.ts';
import { MAX_STATUS_CONNECTIONS } from '../http/constants.ts';
import { type RunningServer, startServer } from '../http/httpServer.ts';
import { sendFailure, sendJson } from '../http/reply.ts';
import type { OperatorAnswer } from '../operators/types.ts';
import type { AdminHost, CommandRoute } from './types.ts';
import { commandRoutes } from './routes/commands.ts';
import { publicRoutes } from './routes/public.ts';

type Router = Instance<HTTPVersion.V1>;
type Params = Record<string, string | undefined>;

/** HTTP server for operators. */
export class AdminServer {
  private server: RunningServer | undefined;
  private readonly connectionLimit = ConnectionLimit.create(MAX_STATUS_CONNECTIONS);
  /** Responses that wait for the reducer's answer, by request id. */
  private readonly pendingResponses = new Map<string, ServerResponse>();

  private constructor(
    private readonly host: AdminHost,
    private readonly router: Router,
  ) {}

  /** `routes` are the commands that the host takes; all by default. */
  static create(host: AdminHost, routes: readonly CommandRoute[] = commandRoutes): AdminServer {
    const router = createRouter({
      ignoreTrailingSlash: true,
      defaultRoute: (request, response) => answerUnknownRoute(router, request, response),
    });
    const server = new AdminServer(host, router);
    for (const { method, path, handle } of publicRoutes) {
      router.on(method, path, (_request, response) => handle(host, response));
    }
    for (const route of routes) {
      router.on(route.method, route.path, (request, response, params) =>
        server.handleCommand(route, request, response, params),
      );
    }
    return server;
  }

  /** Starts listening and returns the port. */
  async start(): Promise<number> {
    const { listen, limits } = this.host.settings;
    this.server = await startServer(
      (request, response) => this.router.lookup(request, response) as void | Promise<void>,
      listen.operators,
      limits,
      undefined,
      this.connectionLimit,
    );
    return this.server.port;
  }

  /** Stops accepting connections and resolves once all have ended. */
  async stop(): Promise<void> {
    await this.server?.stop();
    this.connectionLimit.stop();
  }

  /** Sends the reducer's answer to the operator, unless the connection has been closed. */
  answer(id: string, answer: OperatorAnswer): void {
    const response = this.pendingResponses.get(id);
    if (response === undefined) return;
    if (answer.type === 'done') sendJson(response, answer.status, answer.body);
    else sendRefusal(response, answer.failure, answer.details);
    this.pendingResponses.delete(id);
  }

  /**
   * Sends the result of a draft command. Ignores ids of callers' requests, which are unknown here.
   */
  answerDraftRead(id: string, answer: DraftReadAnswer): void {
    if (answer.type === 'failed') this.answer(id, newRefusal(answer.failure));
    else this.answer(id, { type: 'done', status: 200, body: answer });
  }

  /** Sends a page of a draft list. */
  answerDraftList(id: string, answer: DraftListAnswer): void {
    if (answer.type === 'failed') this.answer(id, newRefusal(answer.failure));
    else {
      const { drafts, next } = answer;
      this.answer(id, { type: 'done', status: 200, body: { drafts, next } });
    }
  }

  private async handleCommand(
    route: CommandRoute,
    request: IncomingMessage,
    response: ServerResponse,
    params: Params,
  ): Promise<void> {
    const id = randomUUID();
    response.setHeader('x-request-id', id);
    const { settings, memory } = this.host;
    const { operatorBodyBytes: maxBytes, slowSenderMs: timeoutMs } = settings.limits;
    const key = findAccessKey(settings.access.keys, request.headers.authorization, 'operator');
    if (key === undefined) {
      const message = 'header Authorization carries no valid operator key';
      sendFailure(response, Failure.create('unauthorized', message));
      return;
    }
    const query = new URL(request.url ?? '/', 'http://localhost').searchParams;
    const readBody = () => memory.readBody(request, { maxBytes, timeoutMs });
    const command = await route.getCommand({ request, params, query, readBody });
    if (command.err) {
      sendRefusal(response, command.val.failure, command.val.details);
      return;
    }
    this.pendingResponses.set(id, response);
    response.on('close', () => this.pendingResponses.delete(id));
    this.host.dispatch({
      type: 'operatorCommandReceived',
      id,
      operator: key.name,
      command: command.val,
      atUnixMs: Date.now(),
    });
  }
}

function newRefusal(failure: Failure): OperatorAnswer {
  return { type: 'refused', failure, details: [] };
}

function sendRefusal(response: ServerResponse, failure: Failure, details: string[]): void {
  if (details.length === 0) {
    sendFailure(response, failure);
    return;
  }
  const { error } = getFailureBody(failure);
  sendJson(response, getErrorResponse(failure.kind).status, { error: { ...error, details } });
}

function answerUnknownRoute(
  router: Router,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const isKnownPath = [...publicRoutes, ...commandRoutes].some(
    ({ method }) => router.find(method, path) !== null,
  );
  const failure = isKnownPath
    ? Failure.create('method_not_allowed', `${request.method ?? ''} is not allowed on ${path}`)
    : Failure.create('not_found', `path ${path} does not exist`);
  sendFailure(response, failure);
}
