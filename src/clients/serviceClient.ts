import { Http, type HttpAnswer, type HttpCall } from './http.ts';

export type ServiceCall = Omit<HttpCall, 'isFresh'> & {
  /** Whether the call may be executed only once; it then gets a connection of its own. */
  mustNotRepeat: boolean;
};

/** Client of plain services. Never repeats a call; `notSent` and `lost` tell what may have arrived. */
export class ServiceClient {
  private constructor(private readonly http: Http) {}

  static create(options: { http?: Http } = {}): ServiceClient {
    return new ServiceClient(options.http ?? Http.create());
  }

  call({ mustNotRepeat, ...call }: ServiceCall): Promise<HttpAnswer> {
    return this.http.call({ ...call, isFresh: mustNotRepeat });
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
