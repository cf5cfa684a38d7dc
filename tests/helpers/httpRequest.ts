import { type IncomingHttpHeaders, request } from 'node:http';

export interface HttpRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Ends the connection, as a caller that goes away does. */
  signal?: AbortSignal;
  /** Called with each part of the answer. */
  onData?: (text: string) => void;
}

/** Answer as far as it arrived; without a status no byte of it did. */
export interface HttpResponse {
  status: number | undefined;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the answer ended as HTTP says it must. */
  isBodyComplete: boolean;
  /** Code of the error that ended the connection. */
  error: string | undefined;
  sentAt: number;
  endedAt: number;
}

/** Time after which a caller gives up; longer than any deadline that the tests set. */
const CALLER_TIMEOUT_MS = 25_000;

/** Sends one request over a connection of its own. Never rejects. */
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
    const patience = AbortSignal.timeout(CALLER_TIMEOUT_MS);
    const signals = AbortSignal.any(signal === undefined ? [patience] : [patience, signal]);
    const options = { host, port, method, path, headers, agent: false, signal: signals };
    const call = request(options, (answer) => {
      received.status = answer.statusCode;
      received.headers = answer.headers;
      answer.setEncoding('utf8');
      answer.on('data', (text: string) => {
        received.body += text;
        onData?.(text);
      });
      answer.on('end', () => {
        received.isBodyComplete = answer.complete;
        end();
      });
      answer.on('error', end);
      answer.on('close', () => end());
    });
    call.on('error', end);
    call.end(body);
  });
}
