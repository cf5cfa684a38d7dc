import { z } from 'zod';
import { ListedHost } from '../src/clients/hostListClient.ts';
import { LaggedValue } from './laggedValue.ts';
import {
  type ReceivedCall,
  CommonFaults,
  ListenOptions,
  parseJson,
  type Reply,
  type StandIn,
  StandInServer,
} from './server.ts';

const Options = ListenOptions.extend({
  /** Delay in ms before a change becomes visible. */
  lagMs: z.number().min(0).default(2_000),
});

/** Host list whose changes become visible after a lag; `PUT /hosts` replaces it. */
export class HostList implements StandIn {
  private readonly hosts: LaggedValue<ListedHost[]>;
  private readonly server: StandInServer;

  private constructor(options: z.infer<typeof Options>) {
    this.hosts = LaggedValue.create<ListedHost[]>(options.lagMs, []);
    this.server = StandInServer.create(options, CommonFaults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof Options> = {}): HostList {
    return new HostList(Options.parse(options));
  }

  start(): Promise<string> {
    return this.server.start();
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  setFaults(change: Partial<CommonFaults>): void {
    this.server.setFaults(change);
  }

  setHosts(hosts: ListedHost[]): void {
    this.hosts.set(hosts);
  }

  private handle(call: ReceivedCall): Reply {
    if (call.path !== '/hosts') return { status: 404 };
    if (call.method === 'GET') return { status: 200, body: this.hosts.get() };
    const parsed = z.array(ListedHost).safeParse(parseJson(call));
    if (!parsed.success) return { status: 400 };
    this.setHosts(parsed.data);
    return { status: 200 };
  }
}
