import { createServer, type Server } from 'node:net';
import { sha256 } from '../../src/base/hash.ts';
import { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';
import { listen } from '../../stand-ins/server.ts';
import { cleanAfter, until } from '../support.ts';
import { Callers, getCallerKey, OPERATOR_KEY } from './callers.ts';
import { type HostPlace, HostProcess } from './hostProcess.ts';
import { FIRMS, type Layout, LOADS_PER_S } from './layouts.ts';
import { Network } from './network.ts';
import { change, getOwner, getRevision, getState, isReady } from './operators.ts';
import { Platform } from './platform.ts';

const KEYS = JSON.stringify([
  ...FIRMS.map((firm) => ({
    name: firm,
    firm,
    role: 'caller',
    sha256: sha256(getCallerKey(firm)),
  })),
  { name: 'tests', firm: 'atlas', role: 'operator', sha256: sha256(OPERATOR_KEY) },
]);

/** A slot of a deployment's layout, with the run of the host that fills it now. */
interface Seat {
  place: HostPlace;
  proxy: FaultProxy;
  incarnation: number;
}

/** Entry hosts as processes, with the stand-ins of their platform in the test's process. */
export class Deployment {
  readonly callers = Callers.create();
  readonly network: Network;
  /** Current run of each host, by host id. */
  readonly hosts = new Map<string, HostProcess>();
  /** All runs of all hosts, for the checker. */
  readonly runs: HostProcess[] = [];
  /** Endpoints and the monotonic ms at which all reachable hosts knew that they leave. */
  readonly leaving = new Map<string, number>();
  /** Revisions that each run showed, in order. */
  readonly revisions = new Map<HostProcess, number[]>();
  private readonly seats = new Map<string, Seat>();
  private sampler: NodeJS.Timeout | undefined;

  private constructor(
    readonly layout: Layout,
    readonly platform: Platform,
    private readonly settings: Record<string, string>,
  ) {
    this.network = Network.create(
      () => [
        ...platform.sites,
        ...[...this.seats.values()].map(({ place, proxy }) => ({ proxy, zone: place.zone })),
      ],
      () => [...this.seats.values()].map(({ place }) => place),
    );
  }

  /** Starts the whole layout; everything ends with the test. */
  static async start(layout: Layout, settings: Record<string, string> = {}): Promise<Deployment> {
    const platform = await Platform.start(layout);
    const deployment = new Deployment(layout, platform, settings);
    cleanAfter(() => deployment.end());
    await platform.writeFirstConfiguration();
    for (const [index, zone] of layout.zones.entries()) {
      for (let n = 1; n <= zone.hosts; n++) {
        await deployment.addSeat(
          `${zone.name}-${n}`,
          zone.name,
          `127.${getNet()}.${index + 1}.${n}`,
        );
      }
    }
    platform.hostList.standIn.setHosts(deployment.getListed());
    await Promise.all([...deployment.seats.keys()].map((id) => deployment.startHost(id)));
    await deployment.waitUntilReady();
    await deployment.waitForOwners();
    deployment.sample();
    return deployment;
  }

  get running(): HostProcess[] {
    return [...this.hosts.values()].filter((host) => host.isRunning);
  }

  /** Hosts to which the load balancer sends callers. */
  get balanced(): HostProcess[] {
    return this.running.filter(({ isPaused, stoppedAt }) => !isPaused && stoppedAt === Infinity);
  }

  getHost(id: string): HostProcess {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`host ${id} does not run`);
    return host;
  }

  getHostsOf(zone: string): HostProcess[] {
    return this.running.filter(({ place }) => place.zone === zone);
  }

  /** Starts host `id` as a new process with a higher incarnation. */
  async startHost(id: string): Promise<HostProcess> {
    const seat = this.seats.get(id);
    if (seat === undefined) throw new Error(`host ${id} does not exist`);
    seat.incarnation += 1;
    const host = await HostProcess.start(seat.place, seat.incarnation, {
      'table-url': `http://${this.platform.table.address}`,
      'objects-url': `http://${this.platform.objects.address}`,
      'hosts-url': `http://${this.platform.hostList.address}`,
      keys: KEYS,
      'loads-per-second': String(LOADS_PER_S),
      ...this.settings,
    });
    this.hosts.set(id, host);
    this.runs.push(host);
    return host;
  }

  /** Ends a host at once and starts another with a new id and address in its zone. */
  async replace(id: string): Promise<HostProcess> {
    const old = this.getHost(id);
    await old.kill();
    const ip = old.place.ip.replace(/\.(\d+)$/, (_, n: string) => `.${Number(n) + 100}`);
    await this.addSeat(`${id}-next`, old.place.zone, ip);
    this.hosts.delete(id);
    this.platform.hostList.standIn.setHosts(this.getListed());
    return this.startHost(`${id}-next`);
  }

  /** Submits and confirms an intent on a host; returns the revision. */
  change(intent: unknown, host = this.running[0]): Promise<number> {
    if (host === undefined) throw new Error('no host runs');
    return change(host.operators, intent);
  }

  /** Waits until all `hosts` have at least `revision` in force. */
  async waitForRevision(revision: number, hosts = this.running): Promise<void> {
    await until(async () => {
      const revisions = await Promise.all(hosts.map((host) => getRevision(host.operators)));
      return revisions.every((current) => current !== undefined && current >= revision);
    });
  }

  /** Makes endpoints leave by intent and notes when all hosts knew. */
  async leave(...endpoints: string[]): Promise<void> {
    const intent = { leaving: endpoints.map((endpoint) => ({ endpoint })) };
    await this.waitForRevision(await this.change(intent));
    for (const endpoint of endpoints) this.leaving.set(endpoint, performance.now());
  }

  /** Reads all accepted drafts until they are done. */
  async collectDrafts(): Promise<void> {
    for (const draft of this.callers.drafts.filter(({ location }) => location !== undefined)) {
      const read = async () => {
        for (const host of this.running) if (await this.callers.read(draft, host)) return true;
        return false;
      };
      // A draft that is never done is reported by the checker.
      await until(read, DRAFT_MS).catch(() => undefined);
    }
  }

  async waitUntilReady(hosts = this.running): Promise<void> {
    await until(async () => {
      const ready = await Promise.all(hosts.map((host) => isReady(host.operators)));
      return ready.every(Boolean);
    });
  }

  /** Returns the host that the hosts of its zone take for the owner of `engine`. */
  async getOwner(engine: string): Promise<string> {
    const { zone = '' } = this.platform.getEngine(engine);
    const [host] = this.getHostsOf(zone);
    const owner = host === undefined ? null : await getOwner(host.operators, engine);
    if (owner === null) throw new Error(`engine ${engine} has no known owner`);
    return owner;
  }

  /** Waits until every running host of each zone names the same running owner for its engines. */
  async waitForOwners(zones = this.layout.zones.map(({ name }) => name)): Promise<void> {
    await until(async () => {
      const engines = this.platform.engines.filter(({ zone = '' }) => zones.includes(zone));
      for (const { id, zone = '' } of engines) {
        const hosts = this.getHostsOf(zone);
        const owners = await Promise.all(hosts.map(({ operators }) => getOwner(operators, id)));
        const owner = owners[0];
        if (!hosts.some(({ place }) => place.id === owner)) return false;
        if (owners.some((other) => other !== owner)) return false;
      }
      return true;
    });
  }

  /** Waits until the other hosts of its zone name another owner than `owner` for `engine`. */
  async waitForOtherOwner(engine: string, owner: HostProcess): Promise<void> {
    const others = this.getHostsOf(owner.place.zone).filter((host) => host !== owner);
    await until(async () => {
      const owners = await Promise.all(others.map((host) => getOwner(host.operators, engine)));
      return owners.every((other) => other !== null && other !== owner.place.id);
    }, 40_000);
  }

  /** Waits until the hosts of its zone take `engine` for live. */
  async waitUntilLive(engine: string): Promise<void> {
    const { zone = '' } = this.platform.getEngine(engine);
    await until(async () => {
      const hosts = this.getHostsOf(zone);
      const states = await Promise.all(hosts.map((host) => getState(host.operators, engine)));
      return states.every((state) => state === 'live');
    });
  }

  private async addSeat(id: string, zone: string, ip: string): Promise<void> {
    const peerPort = await findPort(ip);
    const proxy = FaultProxy.create({ target: `${ip}:${peerPort}` });
    const peerAddress = await proxy.start();
    const place = { id, zone, region: this.layout.region, ip, peerPort, peerAddress };
    this.seats.set(id, { place, proxy, incarnation: 0 });
  }

  private getListed() {
    return [...this.seats.values()].map(({ place }) => ({
      id: place.id,
      kind: 'entry',
      address: place.peerAddress,
      zone: place.zone,
      state: 'live' as const,
    }));
  }

  /** Reads the revision of every host again and again, for G8. */
  private sample(): void {
    const asked = new Set<HostProcess>();
    this.sampler = setInterval(() => {
      for (const host of this.running.filter((running) => !asked.has(running))) {
        asked.add(host);
        void getRevision(host.operators).then((revision) => {
          asked.delete(host);
          if (revision === undefined) return;
          this.revisions.set(host, [...(this.revisions.get(host) ?? []), revision]);
        });
      }
    }, SAMPLE_MS);
  }

  private async end(): Promise<void> {
    clearInterval(this.sampler);
    await Promise.all(this.runs.map((host) => host.kill()));
    await Promise.all([...this.seats.values()].map(({ proxy }) => proxy.stop()));
    await this.platform.stop();
  }
}

const SAMPLE_MS = 250;
/** Time within which an accepted draft must be done once nothing fails any more. */
const DRAFT_MS = 45_000;

/** Second part of the hosts' IP numbers; differs between workers, so that their hosts do not meet. */
function getNet(): number {
  return Number(process.env.VITEST_POOL_ID ?? 1);
}

/** Returns a port that is free on `ip`. */
async function findPort(ip: string): Promise<number> {
  const server: Server = createServer();
  const address = await listen(server, ip, 0);
  await new Promise((resolve) => server.close(resolve));
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
