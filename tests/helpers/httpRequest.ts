import { type IncomingHttpHeaders, request } from 'node:http';

export interface HttpRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Aborts the request by closing the connection. */
  signal?: AbortSignal;
  /** Called with each part of the response body. */
  onData?: (text: string) => void;
}

/** Response as far as it arrived; `status` is undefined if no head arrived. */
export interface HttpResponse {
  status: number | undefined;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the body arrived completely, as its HTTP framing defines. */
  isBodyComplete: boolean;
  /** Code or message of the error that ended the request. */
  error: string | undefined;
  sentAt: number;
  endedAt: number;
}

/** Request timeout; longer than any deadline that the tests set. */
const CALLER_TIMEOUT_MS = 25_000;

/** Sends one request over its own connection. Never rejects. */
export function sendRequest({ address, method, path, headers, body, signal, onData }: HttpRequest) {
  return new Promise<HttpResponse>((resolve) => {
    const received: HttpResponse = {
      status: undefined,
      headers: {},
      body: '',
      isBodyComplete: false,
      error: undefined,
      sentAt: performance.now(),
      endedAt: Infinity,
    };
    const end = (error?: NodeJS.ErrnoException) => {
      if (received.endedAt !== Infinity) return;
      received.endedAt = performance.now();
      received.error = error?.code ?? error?.message;
      resolve(received);
    };
    const [host, port] = address.split(':');
    const timeout = AbortSignal.timeout(CALLER_TIMEOUT_MS);
    const signals = AbortSignal.any(signal === undefined ? [timeout] : [timeout, signal]);
    const options = { host, port, method, path, headers, agent: false, signal: signals };
    const call = request(options, (response) => {
      received.status = response.statusCode;
      received.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (text: string) => {
        received.body += text;
        onData?.(text);
      });
      response.on('end', () => {
        received.isBodyComplete = response.complete;
        end();
      });
      response.on('error', end);
      response.on('close', () => end());
    });
    call.on('error', end);
    call.end(body);
  });
}
