import { HttpClient } from '../../src/clients/httpClient.ts';

/** HTTP status and error message of an adapter or role order. */
export interface OrderResult {
  status: number;
  message?: string;
}

/** Timeout of a fetch from the weight store. */
const LOAD_TIMEOUT_MS = 25_000;

/** Adapter slots of the engine, created anew at each start. */
export class AdapterSlots {
  readonly residents = new Set<string>();
  private readonly loading = new Map<string, Promise<OrderResult>>();

  private constructor(
    private readonly engine: string,
    private readonly slots: number,
    private readonly http: HttpClient,
  ) {}

  static create(engine: string, slots: number): AdapterSlots {
    return new AdapterSlots(engine, slots, HttpClient.create());
  }

  /** Loads `model` from `source`; fails when no slot is free and never evicts a resident adapter. */
  load(model: string, source: string, mustFail: boolean): Promise<OrderResult> {
    if (this.residents.has(model)) return Promise.resolve({ status: 200 });
    const current = this.loading.get(model);
    if (current !== undefined) return current;
    if (this.residents.size + this.loading.size >= this.slots) {
      return Promise.resolve({ status: 503, message: 'no adapter slot is free' });
    }
    const load = this.fetch(model, source)
      .then((result): OrderResult => {
        if (mustFail)
          return { status: 500, message: `loading adapter "${model}" failed by fault setting` };
        if (result.status === 200) this.residents.add(model);
        return result;
      })
      .finally(() => this.loading.delete(model));
    this.loading.set(model, load);
    return load;
  }

  private async fetch(model: string, source: string): Promise<OrderResult> {
    if (!URL.canParse(source)) return { status: 400, message: 'lora_path must be a URL' };
    const { origin, pathname } = new URL(source);
    const answer = await this.http.call({
      address: origin,
      method: 'GET',
      path: pathname,
      headers: { 'x-engine': this.engine, 'x-adapter': model },
      timeoutMs: LOAD_TIMEOUT_MS,
    });
    if (answer.type !== 'answered') return { status: 500, message: answer.reason };
    if (answer.status === 200) return { status: 200 };
    return { status: 500, message: `weight store responded with status ${answer.status}` };
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
