import { TableClient } from '../../src/clients/tableClient.ts';
import { HEAD_KEY } from '../../src/configuration/constants.ts';
import { getRevisionKey } from '../../src/configuration/keys.ts';
import type { Adapter, Change } from '../../src/configuration/types.ts';
import { Engine } from '../../stand-ins/engine/engine.ts';
import { HostList } from '../../stand-ins/hostList.ts';
import { ObjectStore } from '../../stand-ins/objectStore.ts';
import { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';
import type { StandIn } from '../../stand-ins/server.ts';
import { RecordingService } from '../../stand-ins/recordingService.ts';
import { TableService } from '../../stand-ins/tableService.ts';
import { WeightStore } from '../../stand-ins/weightStore.ts';
import {
  ENGINE_BATCH,
  ENGINE_SLOTS,
  FIRMS,
  getFirmAdapters,
  type Layout,
  LOADS_PER_S,
  BASE_MODEL,
  VERSIONS,
} from './layouts.ts';

/** A stand-in behind a fault proxy; `zone` is undefined for services that all zones share. */
export interface ProxiedStandIn<T extends StandIn = StandIn> {
  id: string;
  zone: string | undefined;
  standIn: T;
  proxy: FaultProxy;
  /** Address of the proxy. */
  address: string;
}

/** The stand-ins of one deployment; all but the weight store are behind a fault proxy. */
export class DeploymentPlatform {
  readonly engines: ProxiedStandIn<Engine>[] = [];
  readonly endpoints: ProxiedStandIn<RecordingService>[] = [];
  table!: ProxiedStandIn<TableService>;
  objectStore!: ProxiedStandIn<ObjectStore>;
  hostList!: ProxiedStandIn<HostList>;
  weightStore!: WeightStore;
  weightStoreAddress = '';

  private constructor(readonly layout: Layout) {}

  static async start(layout: Layout): Promise<DeploymentPlatform> {
    const platform = new DeploymentPlatform(layout);
    platform.table = await startProxied('table', undefined, TableService.create());
    platform.objectStore = await startProxied('objects', undefined, ObjectStore.create());
    platform.hostList = await startProxied('hosts', undefined, HostList.create());
    platform.weightStore = WeightStore.create({ loadsPerS: LOADS_PER_S });
    platform.weightStoreAddress = await platform.weightStore.start();
    for (const zone of layout.zones) await platform.startZone(zone);
    return platform;
  }

  /** Services that the hosts of all zones use. */
  get sharedServices(): ProxiedStandIn[] {
    return [this.table, this.objectStore, this.hostList];
  }

  get proxiedStandIns(): ProxiedStandIn[] {
    return [...this.sharedServices, ...this.engines, ...this.endpoints];
  }

  getEngine(id: string): ProxiedStandIn<Engine> {
    const proxied = this.engines.find((engine) => engine.id === id);
    if (proxied === undefined) throw new Error(`engine ${id} does not exist`);
    return proxied;
  }

  /** Makes the table service and the object store answer every call with 503. */
  setStoresDown(down: boolean): void {
    this.table.standIn.setFaults({ down });
    this.objectStore.standIn.setFaults({ down });
  }

  /** Delays every call to the table service and the object store. */
  setStoresSlow(slowMs: number): void {
    this.table.standIn.setFaults({ slowMs });
    this.objectStore.standIn.setFaults({ slowMs });
  }

  /** Makes the table service execute the next `count` writes without answering them. */
  loseWriteAnswers(count: number): void {
    this.table.standIn.setFaults({ effectWithoutAnswer: count });
  }

  /** Writes revision 1 with every engine, endpoint and adapter of the layout. */
  async writeFirstConfiguration(): Promise<void> {
    const table = TableClient.create({ address: this.table.address });
    const condition = { type: 'absent' } as const;
    const value = {
      revision: 1,
      changes: this.getInitialChanges(),
      operator: 'tests',
      confirmedAtUnixMs: Date.now(),
      plan: 'tests',
    };
    const answer = await table.call({
      type: 'write',
      writes: [
        { type: 'put', key: getRevisionKey(1), value, condition },
        { type: 'put', key: HEAD_KEY, value: { revision: 1 }, condition },
      ],
    });
    await table.close();
    if (answer.type !== 'ok')
      throw new Error(`the table service did not write revision 1: ${answer.type}`);
  }

  /** Returns an adapter with VERSIONS and the version `inForce`, which is in force. */
  newAdapter(name: string, firm: string, inForce: string): Adapter {
    const versions = Object.fromEntries(
      [...VERSIONS, inForce].map((version) => [
        version,
        { source: `http://${this.weightStoreAddress}/weights/${name}@${version}` },
      ]),
    );
    return { name, firm, model: BASE_MODEL, versions, inForce };
  }

  async stop(): Promise<void> {
    await Promise.all(this.proxiedStandIns.map(({ proxy }) => proxy.stop()));
    await Promise.all(this.proxiedStandIns.map(({ standIn }) => standIn.stop()));
    await this.weightStore.stop();
  }

  private getInitialChanges(): Change[] {
    const { service, pool } = this.layout;
    const engines = this.engines.map(({ id, address, zone = '' }): Change => ({
      type: 'putEngine',
      engine: {
        id,
        address,
        zone,
        pool,
        model: BASE_MODEL,
        slots: ENGINE_SLOTS,
        batch: ENGINE_BATCH,
        checksFencing: true,
      },
    }));
    const endpoints = this.endpoints.map(({ id, address, zone = '' }) => ({ id, address, zone }));
    const repeatable = [{ method: 'GET', path: '/*' }];
    return [
      ...engines,
      { type: 'putService', service: { name: service, endpoints, repeatable } },
      ...FIRMS.flatMap((firm) =>
        getFirmAdapters(firm).map((name): Change => ({
          type: 'putAdapter',
          adapter: this.newAdapter(name, firm, 'v2'),
        })),
      ),
    ];
  }

  private async startZone({ name, engines, endpoints }: Layout['zones'][number]): Promise<void> {
    for (let n = 1; n <= engines; n++) {
      const id = `${name}-engine-${n}`;
      const options = { id, slots: ENGINE_SLOTS, maxBatch: ENGINE_BATCH, stepMs: 10 };
      this.engines.push(
        await startProxied(id, name, Engine.create({ ...options, coldStartMs: 1_000 })),
      );
    }
    for (let n = 1; n <= endpoints; n++) {
      const id = `${name}-endpoint-${n}`;
      this.endpoints.push(await startProxied(id, name, RecordingService.create()));
    }
  }
}

async function startProxied<T extends StandIn>(
  id: string,
  zone: string | undefined,
  standIn: T,
): Promise<ProxiedStandIn<T>> {
  const proxy = FaultProxy.create({ target: await standIn.start() });
  return { id, zone, standIn, proxy, address: await proxy.start() };
}
