import { HttpClient, type HttpAnswer, type HttpCall } from './httpClient.ts';

export type ServiceCall = Omit<HttpCall, 'hasOwnConnection'> & {
  /** Whether the call must be executed at most once; it then uses its own connection. */
  mustNotRetry: boolean;
};

/** Client of services. Never retries; `notSent` and `lost` tell whether a call may have arrived. */
export class ServiceClient {
  private constructor(private readonly http: HttpClient) {}

  static create(options: { http?: HttpClient } = {}): ServiceClient {
    return new ServiceClient(options.http ?? HttpClient.create());
  }

  call({ mustNotRetry, ...call }: ServiceCall): Promise<HttpAnswer> {
    return this.http.call({ ...call, hasOwnConnection: mustNotRetry });
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
