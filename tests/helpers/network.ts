import type { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';

/** Where a proxy stands; `zone` is undefined for the services of the platform. */
export interface Place {
  proxy: FaultProxy;
  zone: string | undefined;
}

export interface Source {
  ip: string;
  zone: string;
}

/** From what a zone is cut off. */
export type Side = 'zones' | 'platform';

/** Which way bytes are held back, as seen from the host that opened the connection. */
export interface Cut {
  outward?: boolean;
  inward?: boolean;
}

/** The connections between hosts, endpoints and the platform, as far as they pass a proxy. */
export class Network {
  private constructor(
    readonly getPlaces: () => Place[],
    private readonly getSources: () => Source[],
  ) {}

  static create(getPlaces: () => Place[], getSources: () => Source[]): Network {
    return new Network(getPlaces, getSources);
  }

  /** Holds back all bytes between `zone` and `side` until healed. */
  async cutZone(zone: string, side: Side, { outward = true, inward = true }: Cut = {}) {
    for (const { proxy, source } of this.getCrossings(zone, side)) {
      await proxy.setFaults({ cutToServer: outward, cutToClient: inward }, source.ip);
    }
  }

  /** Makes the open connections between `zone` and `side` silent for good; new ones work. */
  silence(zone: string, side: Side): void {
    for (const { proxy, source } of this.getCrossings(zone, side))
      proxy.silenceConnections(source.ip);
  }

  /** Ends all cuts. */
  async heal(): Promise<void> {
    for (const { proxy } of this.getPlaces()) {
      for (const { ip } of this.getSources()) await proxy.clearFaults(ip);
    }
  }

  private getCrossings(zone: string, side: Side): { proxy: FaultProxy; source: Source }[] {
    return this.getPlaces().flatMap((place) =>
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
