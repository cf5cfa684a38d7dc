import { setTimeout as sleep } from 'node:timers/promises';
import { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';
import type { PlatformEndpoint } from '../../stand-ins/platform/platformEndpoint.ts';
import type { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { startStandIn } from '../support.ts';

/** What becomes of a host's connections to the endpoints while it is cut off from them. */
export type Cut = 'reset' | 'hang' | 'newRefused';

const CUTS: Record<Cut, (proxy: FaultProxy, source: string) => Promise<void>> = {
  reset: async (proxy, source) => {
    await proxy.setFaults({ refuse: true }, source);
    proxy.resetConnections(source);
  },
  hang: (proxy, source) => proxy.setFaults({ cutToServer: true, cutToClient: true }, source),
  newRefused: (proxy, source) => proxy.setFaults({ refuse: true }, source),
};

/** Returns the IP address from which host `index` connects to endpoints and other hosts. */
export function getSourceAddress(index: number): string {
  return `127.0.0.${index + 11}`;
}

/** The links of the hosts of a deployment to its endpoints, which can be cut for single hosts. */
export class EndpointLinks {
  readonly endpoints: PlatformEndpoint[] = [];
  private readonly proxies: FaultProxy[] = [];
  private readonly entries = new Map<string, [service: 'desk' | 'llm', address: string]>();

  private constructor(private readonly deployment: GatewayDeployment) {}

  static create(deployment: GatewayDeployment): EndpointLinks {
    return new EndpointLinks(deployment);
  }

  /** Starts an endpoint behind a proxy and registers it at the address of the proxy. */
  async addEndpoint(
    service: 'desk' | 'llm',
    id: string,
    options: Parameters<GatewayDeployment['addServer']>[2] = {},
  ): Promise<PlatformEndpoint> {
    const endpoint = await this.deployment.addServer(service, id, options);
    const proxy = FaultProxy.create({ target: endpoint.address });
    const address = await startStandIn(proxy);
    this.deployment.register(service, id, address);
    this.entries.set(id, [service, address]);
    this.endpoints.push(endpoint);
    this.proxies.push(proxy);
    return endpoint;
  }

  /** Cuts a host off from endpoints, from all of them by default. */
  async cut(host: number, cut: Cut, endpoints = this.proxies.length): Promise<void> {
    const proxies = this.proxies.slice(0, endpoints);
    await Promise.all(proxies.map((proxy) => CUTS[cut](proxy, getSourceAddress(host))));
  }

  /** Has the directory say that an endpoint leaves. */
  leave(id: string): void {
    const [service, address] = this.entries.get(id) ?? [];
    if (service !== undefined && address !== undefined)
      this.deployment.register(service, id, address, { state: 'draining' });
  }

  /** Has an endpoint refuse connections for some ms, after it has reset those of `hosts` hosts. */
  async stop(id: string, hosts: number, ms: number): Promise<void> {
    const proxy = this.getProxy(id);
    await proxy?.setFaults({ refuse: true });
    for (let host = 0; host < hosts; host++) proxy?.resetConnections(getSourceAddress(host));
    await sleep(ms);
    await proxy?.setFaults({ refuse: false });
  }

  /** Holds all bytes of an endpoint for some ms. */
  async silence(id: string, ms: number): Promise<void> {
    const proxy = this.getProxy(id);
    await proxy?.setFaults({ cutToClient: true, cutToServer: true });
    await sleep(ms);
    await proxy?.setFaults({ cutToClient: false, cutToServer: false });
  }

  async heal(host: number): Promise<void> {
    await Promise.all(this.proxies.map((proxy) => proxy.clearFaults(getSourceAddress(host))));
  }

  private getProxy(id: string): FaultProxy | undefined {
    return this.proxies[[...this.entries.keys()].indexOf(id)];
  }
}
