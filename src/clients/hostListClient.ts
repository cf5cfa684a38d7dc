import { Err, Ok, type Result } from '../base/result.ts';
import { z } from 'zod';
import { HOST_LIST_TIMEOUT_MS } from './constants.ts';
import { HttpClient } from './httpClient.ts';

/** A host in the platform's host list, which may be out of date. */
export const ListedHost = z.object({
  id: z.string(),
  kind: z.string(),
  address: z.string(),
  zone: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedHost = z.infer<typeof ListedHost>;

/** Client of the platform's host list. */
export class HostListClient {
  private constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly http: HttpClient,
  ) {}

  static create(options: {
    address: string;
    timeoutMs?: number;
    http?: HttpClient;
  }): HostListClient {
    const { address, timeoutMs = HOST_LIST_TIMEOUT_MS, http = HttpClient.create() } = options;
    return new HostListClient(address, timeoutMs, http);
  }

  /** Returns the listed hosts, or the reason why the list could not be read. */
  async read(): Promise<Result<ListedHost[], string>> {
    const answer = await this.http.call({
      address: this.address,
      method: 'GET',
      path: '/hosts',
      timeoutMs: this.timeoutMs,
    });
    if (answer.type !== 'answered') return Err(answer.reason);
    if (answer.status !== 200) return Err(`the host list answered ${answer.status}`);
    try {
      return Ok(z.array(ListedHost).parse(JSON.parse(answer.body.toString())));
    } catch {
      return Err('the host list has an invalid format');
    }
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
