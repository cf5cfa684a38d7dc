import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { SocketEndTracker } from './connector.ts';

type Controller = Dispatcher.DispatchController;
type Handler = Dispatcher.DispatchHandler;

interface Options {
  /** Returns whether the server accepts another connection; never rejects. */
  isServerRunning: () => Promise<boolean>;
  /** Tracks the connections of the dispatcher that is composed. */
  endTracker: SocketEndTracker;
}

/** How the end of a response body is marked; `none` if the response has no body. */
export type BodyFraming = 'none' | 'length' | 'chunked' | 'connectionClose';

/** Returns how the end of the body of a response to `method` is marked. */
export function getBodyFraming(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): BodyFraming {
  if (method === 'HEAD' || status === 204 || status === 304) return 'none';
  if ('content-length' in headers) return 'length';
  const isChunked = /chunked\s*$/i.test(headers['transfer-encoding'] ?? '');
  return isChunked ? 'chunked' : 'connectionClose';
}

/**
 * Returns an interceptor for responses whose body ends with the connection. Such an end does not tell
 * a complete body from one whose server has crashed, so the response fails if the connection was reset
 * or if the server does not accept another connection after it.
 */
export function confirmCloseDelimited(options: Options): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (request, handler) =>
    dispatch(request, CloseDelimitedHandler.create(options, request.method, handler));
}

class CloseDelimitedHandler implements Handler {
  private framing: BodyFraming | undefined;

  private constructor(
    private readonly options: Options,
    private readonly method: string,
    private readonly handler: Handler,
  ) {}

  static create(options: Options, method: string, handler: Handler): CloseDelimitedHandler {
    return new CloseDelimitedHandler(options, method, handler);
  }

  onRequestStart(...args: Parameters<NonNullable<Handler['onRequestStart']>>): void {
    this.handler.onRequestStart?.(...args);
  }

  onResponseStart(...args: Parameters<NonNullable<Handler['onResponseStart']>>): void {
    const [, status, headers] = args;
    this.framing = getBodyFraming(this.method, status, headers);
    this.handler.onResponseStart?.(...args);
  }

  onResponseData(...args: Parameters<NonNullable<Handler['onResponseData']>>): void {
    this.handler.onResponseData?.(...args);
  }

  onResponseEnd(controller: Controller, trailers: IncomingHttpHeaders): void {
    if (this.framing === 'connectionClose') void this.confirmEnd(controller, trailers);
    else this.handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, error: Error): void {
    this.handler.onResponseError?.(controller, error);
  }

  private async confirmEnd(controller: Controller, trailers: IncomingHttpHeaders): Promise<void> {
    const { isServerRunning, endTracker } = this.options;
    if (!endTracker.isGracefulClose())
      this.fail(controller, 'the connection was reset during a response without a length');
    else if (await isServerRunning()) this.end(controller, trailers);
    else this.fail(controller, 'the server is gone after a response without a length');
  }

  /** undici has returned from the response, so nothing else would handle an error of the handler. */
  private end(controller: Controller, trailers: IncomingHttpHeaders): void {
    try {
      this.handler.onResponseEnd?.(controller, trailers);
    } catch (error) {
      this.fail(controller, error instanceof Error ? error.message : String(error));
    }
  }

  private fail(controller: Controller, reason: string): void {
    this.handler.onResponseError?.(controller, new Error(reason));
  }
}
