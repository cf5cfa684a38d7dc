import type { Proxy } from '../../stand-ins/proxy/proxy.ts';

/** Where a proxy stands; `zone` is undefined for the services of the platform. */
export interface ProxyLocation {
  proxy: Proxy;
  zone: string | undefined;
}

export interface SourceHost {
  ip: string;
  zone: string;
}

/** From what a zone is cut off. */
export type ZoneBoundary = 'zones' | 'platform';

/** Which way bytes are held back, as seen from the host that opened the connection. */
export interface BlockedDirections {
  outward?: boolean;
  inward?: boolean;
}

/** The connections between hosts, endpoints and the platform, as far as they pass a proxy. */
export class Network {
  private constructor(
    readonly getProxies: () => ProxyLocation[],
    private readonly getSources: () => SourceHost[],
  ) {}

  static create(getPlaces: () => ProxyLocation[], getSources: () => SourceHost[]): Network {
    return new Network(getPlaces, getSources);
  }

  /** Holds back all bytes between `zone` and `side` until healed. */
  async partitionZone(
    zone: string,
    side: ZoneBoundary,
    { outward = true, inward = true }: BlockedDirections = {},
  ) {
    for (const { proxy, source } of this.getCrossings(zone, side)) {
      await proxy.setFaults({ cutToServer: outward, cutToClient: inward }, source.ip);
    }
  }

  /** Makes the open connections between `zone` and `side` silent for good; new ones work. */
  silenceConnections(zone: string, side: ZoneBoundary): void {
    for (const { proxy, source } of this.getCrossings(zone, side)) proxy.silence(source.ip);
  }

  /** Ends all cuts. */
  async heal(): Promise<void> {
    for (const { proxy } of this.getProxies()) {
      for (const { ip } of this.getSources()) await proxy.clearFaults(ip);
    }
  }

  private getCrossings(zone: string, side: ZoneBoundary): { proxy: Proxy; source: SourceHost }[] {
    return this.getProxies().flatMap((place) =>
      this.getSources()
        .filter((source) =>
          side === 'platform'
            ? place.zone === undefined && source.zone === zone
            : place.zone !== undefined &&
              place.zone !== source.zone &&
              (place.zone === zone || source.zone === zone),
        )
        .map((source) => ({ proxy: place.proxy, source })),
    );
  }
}
