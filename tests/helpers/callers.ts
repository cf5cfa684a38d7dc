import { z } from 'zod';
import { type Firm, FIRMS } from './layouts.ts';
import { type HttpResponse, sendRequest } from './httpRequest.ts';

export const OPERATOR_KEY = 'tests-operator';

const FailureBody = z.object({
  error: z.object({ kind: z.string(), outcome: z.enum(['not_run', 'unknown']) }),
});
const CompletionText = z.object({
  choices: z.array(
    z.object({
      text: z.string().optional(),
      message: z.object({ content: z.string() }).optional(),
      delta: z.object({ content: z.string().optional() }).optional(),
    }),
  ),
});

export interface CompletionRecord extends HttpResponse {
  type: 'completion';
  host: string;
  /** Caller address of the host process that received the request. */
  address: string;
  adapter: string;
  /** Adapter version that the request names. */
  version: string;
  prompt: string;
  maxTokens: number;
  isStream: boolean;
  failure: z.infer<typeof FailureBody>['error'] | undefined;
  text: string;
  /** Whether the whole response arrived, with the `[DONE]` event if it is a stream. */
  isComplete: boolean;
  /** Whether the caller closed the connection. */
  isCancelled: boolean;
}

export interface ServiceRecord extends HttpResponse {
  type: 'service';
  host: string;
  address: string;
  key: string;
  method: string;
  path: string;
  sentBody: string;
  failure: z.infer<typeof FailureBody>['error'] | undefined;
}

/** Request for a draft, which a host accepted or refused. */
export interface DraftRecord extends HttpResponse {
  type: 'draft';
  host: string;
  address: string;
  adapter: string;
  version: string;
  prompt: string;
  maxTokens: number;
  failure: z.infer<typeof FailureBody>['error'] | undefined;
  /** Path of the draft; undefined if it was not accepted. */
  location: string | undefined;
  /** State and text at the last read. */
  state: string;
  text: string;
}

export interface CompletionCall {
  host: { callerAddress: string; spec: { id: string } };
  adapter: string;
  version?: string;
  prompt: string;
  maxTokens?: number;
  isStream?: boolean;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  onData?: (text: string) => void;
}

export interface ServiceCall {
  host: { callerAddress: string; spec: { id: string } };
  service: string;
  key: string;
  path?: string;
  method?: string;
  body?: string;
  headers?: Record<string, string>;
}

/** Returns the API key of the caller of `firm`. */
export function getCallerKey(firm: Firm): string {
  return `tests-${firm}`;
}

/** Callers of all firms; records each request with its response. */
export class Callers {
  readonly completions: CompletionRecord[] = [];
  readonly serviceCalls: ServiceRecord[] = [];
  readonly drafts: DraftRecord[] = [];

  private constructor() {}

  static create(): Callers {
    return new Callers();
  }

  /** Sends a completion request as the firm of the adapter. */
  async sendCompletion(call: CompletionCall): Promise<CompletionRecord> {
    const { host, adapter, version = 'v2', prompt, maxTokens = 8, isStream = false } = call;
    const body = { model: `${adapter}@${version}`, prompt, max_tokens: maxTokens };
    const received = await sendRequest({
      address: host.callerAddress,
      method: 'POST',
      path: '/v1/completions',
      headers: { ...getHeaders(adapter), ...call.headers },
      body: JSON.stringify({ ...body, stream: isStream }),
      signal: call.signal,
      onData: call.onData,
    });
    const record: CompletionRecord = {
      ...received,
      type: 'completion',
      host: host.spec.id,
      address: host.callerAddress,
      adapter,
      version,
      prompt,
      maxTokens,
      isStream,
      ...parseCompletionResponse(received, isStream),
      isCancelled: call.signal?.aborted ?? false,
    };
    this.completions.push(record);
    return record;
  }

  /** Submits a draft as the firm of the adapter. */
  async submitDraft(call: CompletionCall): Promise<DraftRecord> {
    const { host, adapter, version = 'v2', prompt, maxTokens = 8 } = call;
    const received = await sendRequest({
      address: host.callerAddress,
      method: 'POST',
      path: '/v1/completions',
      headers: { ...getHeaders(adapter), prefer: 'respond-async' },
      body: JSON.stringify({ model: `${adapter}@${version}`, prompt, max_tokens: maxTokens }),
    });
    const { status, headers, body } = received;
    const record: DraftRecord = {
      ...received,
      type: 'draft',
      host: host.spec.id,
      address: host.callerAddress,
      adapter,
      version,
      prompt,
      maxTokens,
      failure: getFailure(body),
      location: status === 202 ? headers.location : undefined,
      state: 'queued',
      text: '',
    };
    this.drafts.push(record);
    return record;
  }

  /** Reads an accepted draft through `host`; returns whether it is done. */
  async readDraft(draft: DraftRecord, host: { callerAddress: string }): Promise<boolean> {
    const { status, body } = await sendRequest({
      address: host.callerAddress,
      method: 'GET',
      path: draft.location ?? '',
      headers: getHeaders(draft.adapter),
    });
    if (status === 200) draft.text = getCompletionText(body);
    draft.state = status === 200 ? 'done' : `${status ?? 'no answer'} ${body.slice(0, 200)}`;
    return status === 200;
  }

  /** Calls a service as the firm whose name is the prefix of `key`. */
  async callService(call: ServiceCall): Promise<ServiceRecord> {
    const { host, service, key, path = '/bookings', method = 'POST', body = key } = call;
    const received = await sendRequest({
      address: host.callerAddress,
      method,
      path: `/services/${service}${path}`,
      headers: { ...getHeaders(key), 'idempotency-key': key, ...call.headers },
      body: method === 'GET' ? undefined : JSON.stringify({ body }),
    });
    const failure = getFailure(received.body);
    const hostId = host.spec.id;
    const record: ServiceRecord = {
      ...received,
      type: 'service',
      host: hostId,
      address: host.callerAddress,
      key,
      method,
      path,
      sentBody: body,
      failure,
    };
    this.serviceCalls.push(record);
    return record;
  }
}

function getHeaders(name: string): Record<string, string> {
  const firm = FIRMS.find((candidate) => name.startsWith(candidate)) ?? 'atlas';
  return {
    authorization: `Bearer ${getCallerKey(firm)}`,
    'content-type': 'application/json',
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function getFailure(text: string) {
  return FailureBody.safeParse(parseJson(text)).data?.error;
}

function getCompletionText(json: string): string {
  const choice = CompletionText.safeParse(parseJson(json)).data?.choices[0];
  return choice?.text ?? choice?.message?.content ?? choice?.delta?.content ?? '';
}

function parseCompletionResponse(
  { status, body, isBodyComplete }: HttpResponse,
  isStream: boolean,
) {
  if (status !== 200 || !isStream) {
    const failure = getFailure(body);
    return { failure, text: getCompletionText(body), isComplete: status === 200 && isBodyComplete };
  }
  const events = body
    .split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .map((event) => event.slice('data: '.length));
  return {
    failure: events.map(getFailure).find((failure) => failure !== undefined),
    text: events.map(getCompletionText).join(''),
    isComplete: isBodyComplete && events.at(-1) === '[DONE]',
  };
}
