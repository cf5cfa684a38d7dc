import { HttpClient, type HttpAnswer, type HttpCall } from './httpClient.ts';

export type ServiceCall = Omit<HttpCall, 'hasOwnConnection'> & {
  /** Whether the call may be executed only once; it then gets a connection of its own. */
  mustNotRetry: boolean;
};

/** Client of plain services. Never repeats a call; `notSent` and `lost` tell what may have arrived. */
export class ServiceClient {
  private constructor(private readonly http: HttpClient) {}

  static create(options: { http?: HttpClient } = {}): ServiceClient {
    return new ServiceClient(options.http ?? HttpClient.create());
  }

  call({ mustNotRetry: mustNotRepeat, ...call }: ServiceCall): Promise<HttpAnswer> {
    return this.http.call({ ...call, hasOwnConnection: mustNotRepeat });
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
