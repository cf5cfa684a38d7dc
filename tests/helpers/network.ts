import type { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';

/** A proxy and the zone of its target; `zone` is undefined for services that all zones share. */
export interface ProxyLocation {
  proxy: FaultProxy;
  zone: string | undefined;
}

export interface SourceHost {
  ip: string;
  zone: string;
}

/** What a zone is partitioned from: the other zones or the shared services of the platform. */
export type ZoneBoundary = 'zones' | 'platform';

/** Directions in which bytes are blocked, as seen from the host that opened the connection. */
export interface BlockedDirections {
  outward?: boolean;
  inward?: boolean;
}

/** Injects faults into the connections between hosts, endpoints and the platform that pass a proxy. */
export class Network {
  private constructor(
    readonly getProxies: () => ProxyLocation[],
    private readonly getSources: () => SourceHost[],
  ) {}

  static create(getProxies: () => ProxyLocation[], getSources: () => SourceHost[]): Network {
    return new Network(getProxies, getSources);
  }

  /** Blocks the bytes between `zone` and `side`, by default in both directions, until `heal` is called. */
  async partitionZone(
    zone: string,
    side: ZoneBoundary,
    { outward = true, inward = true }: BlockedDirections = {},
  ) {
    for (const { proxy, source } of this.getCrossings(zone, side)) {
      await proxy.setFaults({ cutToServer: outward, cutToClient: inward }, source.ip);
    }
  }

  /** Silences the open connections between `zone` and `side` for good; new ones are not affected. */
  silenceConnections(zone: string, side: ZoneBoundary): void {
    for (const { proxy, source } of this.getCrossings(zone, side))
      proxy.silenceConnections(source.ip);
  }

  /** Ends all partitions. */
  async heal(): Promise<void> {
    for (const { proxy } of this.getProxies()) {
      for (const { ip } of this.getSources()) await proxy.clearFaults(ip);
    }
  }

  private getCrossings(
    zone: string,
    side: ZoneBoundary,
  ): { proxy: FaultProxy; source: SourceHost }[] {
    return this.getProxies().flatMap((location) =>
      this.getSources()
        .filter((source) =>
          side === 'platform'
            ? location.zone === undefined && source.zone === zone
            : location.zone !== undefined &&
              location.zone !== source.zone &&
              (location.zone === zone || source.zone === zone),
        )
        .map((source) => ({ proxy: location.proxy, source })),
    );
  }
}
