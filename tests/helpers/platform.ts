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
  getAdapters,
  type Layout,
  LOADS_PER_S,
  MODEL,
  VERSIONS,
} from './layouts.ts';

/** A stand-in behind its proxy; platform services have no zone. */
export interface Site<T extends StandIn = StandIn> {
  id: string;
  zone: string | undefined;
  standIn: T;
  proxy: FaultProxy;
  /** Address of the proxy. */
  address: string;
}

/** The stand-ins of one deployment, each behind a proxy. */
export class Platform {
  readonly engines: Site<Engine>[] = [];
  readonly endpoints: Site<RecordingService>[] = [];
  table!: Site<TableService>;
  objects!: Site<ObjectStore>;
  hostList!: Site<HostList>;
  weights!: WeightStore;
  weightsAddress = '';

  private constructor(readonly layout: Layout) {}

  static async start(layout: Layout): Promise<Platform> {
    const platform = new Platform(layout);
    platform.table = await newSite('table', undefined, TableService.create());
    platform.objects = await newSite('objects', undefined, ObjectStore.create());
    platform.hostList = await newSite('hosts', undefined, HostList.create());
    platform.weights = WeightStore.create({ loadsPerS: LOADS_PER_S });
    platform.weightsAddress = await platform.weights.start();
    for (const zone of layout.zones) await platform.startZone(zone);
    return platform;
  }

  /** The sites that all hosts use, whatever their zone. */
  get services(): Site[] {
    return [this.table, this.objects, this.hostList];
  }

  get sites(): Site[] {
    return [...this.services, ...this.engines, ...this.endpoints];
  }

  getEngine(id: string): Site<Engine> {
    const site = this.engines.find((engine) => engine.id === id);
    if (site === undefined) throw new Error(`engine ${id} does not exist`);
    return site;
  }

  /** Makes the table service and the object store answer 503 at once. */
  setDown(down: boolean): void {
    this.table.standIn.setFaults({ down });
    this.objects.standIn.setFaults({ down });
  }

  /** Delays every call to the table service and the object store. */
  setSlow(slowMs: number): void {
    this.table.standIn.setFaults({ slowMs });
    this.objects.standIn.setFaults({ slowMs });
  }

  /** Executes the next `count` writes to the table without answering them. */
  loseWrites(count: number): void {
    this.table.standIn.setFaults({ effectWithoutAnswer: count });
  }

  /** Writes revision 1 with every engine, endpoint and adapter of the layout. */
  async writeFirstConfiguration(): Promise<void> {
    const table = TableClient.create({ address: this.table.address });
    const condition = { type: 'absent' } as const;
    const value = {
      revision: 1,
      changes: this.getChanges(),
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
    if (answer.type !== 'ok') throw new Error(`the configuration was not written: ${answer.type}`);
  }

  /** Returns an adapter with the versions of the layout and `inForce`. */
  newAdapter(name: string, firm: string, inForce: string): Adapter {
    const versions = Object.fromEntries(
      [...VERSIONS, inForce].map((version) => [
        version,
        { source: `http://${this.weightsAddress}/weights/${name}@${version}` },
      ]),
    );
    return { name, firm, model: MODEL, versions, inForce };
  }

  async stop(): Promise<void> {
    await Promise.all(this.sites.map(({ proxy }) => proxy.stop()));
    await Promise.all(this.sites.map(({ standIn }) => standIn.stop()));
    await this.weights.stop();
  }

  private getChanges(): Change[] {
    const { service, pool } = this.layout;
    const engines = this.engines.map(({ id, address, zone = '' }): Change => ({
      type: 'putEngine',
      engine: {
        id,
        address,
        zone,
        pool,
        model: MODEL,
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
        getAdapters(firm).map((name): Change => ({
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
      this.engines.push(await newSite(id, name, Engine.create({ ...options, coldStartMs: 1_000 })));
    }
    for (let n = 1; n <= endpoints; n++) {
      const id = `${name}-endpoint-${n}`;
      this.endpoints.push(await newSite(id, name, RecordingService.create()));
    }
  }
}

async function newSite<T extends StandIn>(
  id: string,
  zone: string | undefined,
  standIn: T,
): Promise<Site<T>> {
  const proxy = FaultProxy.create({ target: await standIn.start() });
  return { id, zone, standIn, proxy, address: await proxy.start() };
}
