import { Err, Ok, type Result } from '../base/result.ts';
import { EngineReport } from '../engines/types.ts';
import type { EngineOrder, EngineOrderAnswer } from '../grants/types.ts';
import type { AttemptOutcome } from '../requests/types.ts';
import { Completion, type CompletionOptions } from './completion.ts';
import { LOAD_REPORT_TIMEOUT_MS, ENGINE_ORDER_TIMEOUT_MS } from './constants.ts';
import { HttpClient } from './httpClient.ts';

interface OrderRequest {
  path: string;
  body: unknown;
}

const ORDER_REQUESTS: {
  [T in EngineOrder['type']]: (order: Extract<EngineOrder, { type: T }>) => OrderRequest;
} = {
  load: ({ model, source }) => ({
    path: '/v1/load_lora_adapter',
    body: { lora_name: model, lora_path: source },
  }),
  unload: ({ model }) => ({ path: '/v1/unload_lora_adapter', body: { lora_name: model } }),
  role: ({ role }) => ({ path: '/role', body: { role } }),
};

/** A completion in progress. */
export interface RunningCompletion {
  /** Closes the connection, which cancels the request on the engine. */
  cancel: () => void;
  /** Never rejects. */
  ended: Promise<AttemptOutcome>;
}

/** Client of the model engines. */
export class EngineClient {
  private constructor(private readonly http: HttpClient) {}

  static create(options: { http?: HttpClient } = {}): EngineClient {
    return new EngineClient(options.http ?? HttpClient.create());
  }

  /** Reads the load report; `refused` is true if a new connection was refused. */
  async readLoad(
    address: string,
  ): Promise<Result<EngineReport, { refused: boolean; reason: string }>> {
    const answer = await this.http.call({
      address,
      method: 'GET',
      path: '/load',
      timeoutMs: LOAD_REPORT_TIMEOUT_MS,
    });
    if (answer.type !== 'answered') {
      return Err({
        refused: answer.type === 'notSent' && answer.refused,
        reason: answer.reason,
      });
    }
    if (answer.status !== 200) {
      return Err({ refused: false, reason: `the engine answered ${answer.status}` });
    }
    try {
      return Ok(EngineReport.parse(JSON.parse(answer.body.toString())));
    } catch {
      return Err({ refused: false, reason: 'the load report has an invalid format' });
    }
  }

  /** Sends an order with the ownership epoch as its fencing number. Never retries. */
  async sendOrder(address: string, epoch: number, order: EngineOrder): Promise<EngineOrderAnswer> {
    const getRequest = ORDER_REQUESTS[order.type] as (order: EngineOrder) => OrderRequest;
    const { path, body } = getRequest(order);
    const answer = await this.http.call({
      address,
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json', 'x-fencing-number': String(epoch) },
      body: JSON.stringify(body),
      timeoutMs: ENGINE_ORDER_TIMEOUT_MS,
    });
    if (answer.type === 'notSent') return { type: 'failed', reason: answer.reason };
    if (answer.type === 'lost') return { type: 'unknown', reason: answer.reason };
    if (answer.status < 300) return { type: 'done' };
    if (answer.status === 409) return { type: 'fenced' };
    // An adapter that is not resident needs no unload.
    if (answer.status === 404 && order.type === 'unload') return { type: 'done' };
    const reason = `the engine answered ${answer.status}: ${answer.body.toString().slice(0, 200)}`;
    const isAmbiguous = answer.status === 502 || answer.status === 504;
    return { type: isAmbiguous ? 'unknown' : 'failed', reason };
  }

  /** Starts a completion; `ended` resolves after the last callback. */
  startCompletion(options: CompletionOptions): RunningCompletion {
    const completion = Completion.create(this.http, options);
    return { cancel: () => completion.cancel(), ended: completion.run() };
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
