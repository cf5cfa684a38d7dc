import type { ObjectAnswer, ObjectCall } from '../core/store.ts';
import { OBJECT_TIMEOUT_MS } from './constants.ts';
import { HttpClient } from './httpClient.ts';

const METHODS = { get: 'GET', put: 'PUT', delete: 'DELETE' } as const;

/** Client of the object store. Never retries a call. */
export class ObjectClient {
  private constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly http: HttpClient,
  ) {}

  static create(options: { address: string; timeoutMs?: number; http?: HttpClient }): ObjectClient {
    const { address, timeoutMs = OBJECT_TIMEOUT_MS, http = HttpClient.create() } = options;
    return new ObjectClient(address, timeoutMs, http);
  }

  async call(call: ObjectCall): Promise<ObjectAnswer> {
    const answer = await this.http.call({
      address: this.address,
      method: METHODS[call.type],
      path: `/objects/${encodeURIComponent(call.key)}`,
      body: call.type === 'put' ? call.body : undefined,
      timeoutMs: this.timeoutMs,
    });
    const lostType = call.type === 'get' ? 'unavailable' : 'unknown';
    if (answer.type === 'notSent') return { type: 'unavailable', reason: answer.reason };
    if (answer.type === 'lost') return { type: lostType, reason: answer.reason };
    const { status } = answer;
    if (status < 300)
      return { type: 'ok', body: call.type === 'get' ? answer.body.toString() : '' };
    if (status === 404) return { type: 'missing' };
    const isRefusal = status === 503 || (status >= 400 && status < 500);
    return {
      type: isRefusal ? 'unavailable' : lostType,
      reason: `the object store answered ${status}`,
    };
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
