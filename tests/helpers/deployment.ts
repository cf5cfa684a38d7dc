import { createServer, type Server } from 'node:net';
import { sha256 } from '../../src/base/hash.ts';
import { Proxy } from '../../stand-ins/proxy/proxy.ts';
import { listen } from '../../stand-ins/server.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { Callers, getCallerKey, OPERATOR_KEY } from './callers.ts';
import { type HostSpec, HostProcess } from './hostProcess.ts';
import { FIRMS, type Layout, LOADS_PER_S } from './layouts.ts';
import { Network } from './network.ts';
import {
  applyIntent,
  getEngineOwner,
  getRevision,
  getEngineState,
  isHostReady,
} from './operatorApi.ts';
import { DeploymentPlatform } from './deploymentPlatform.ts';

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
interface ManagedHost {
  spec: HostSpec;
  proxy: Proxy;
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
  readonly leavingKnownAt = new Map<string, number>();
  /** Revisions that each run showed, in order. */
  readonly revisions = new Map<HostProcess, number[]>();
  private readonly managedHosts = new Map<string, ManagedHost>();
  private revisionSampler: NodeJS.Timeout | undefined;

  private constructor(
    readonly layout: Layout,
    readonly platform: DeploymentPlatform,
    private readonly settings: Record<string, string>,
  ) {
    this.network = Network.create(
      () => [
        ...platform.proxiedStandIns,
        ...[...this.managedHosts.values()].map(({ spec, proxy }) => ({ proxy, zone: spec.zone })),
      ],
      () => [...this.managedHosts.values()].map(({ spec }) => spec),
    );
  }

  /** Starts the whole layout; everything ends with the test. */
  static async start(layout: Layout, settings: Record<string, string> = {}): Promise<Deployment> {
    const platform = await DeploymentPlatform.start(layout);
    const deployment = new Deployment(layout, platform, settings);
    cleanUpAfterTest(() => deployment.stopAll());
    await platform.writeFirstConfiguration();
    for (const [index, zone] of layout.zones.entries()) {
      for (let n = 1; n <= zone.hosts; n++) {
        await deployment.addHost(
          `${zone.name}-${n}`,
          zone.name,
          `127.${getWorkerSubnet()}.${index + 1}.${n}`,
        );
      }
    }
    platform.hostList.standIn.setHosts(deployment.getHostListEntries());
    await Promise.all([...deployment.managedHosts.keys()].map((id) => deployment.startHost(id)));
    await deployment.waitUntilReady();
    await deployment.waitForOwners();
    deployment.sampleRevisions();
    return deployment;
  }

  get runningHosts(): HostProcess[] {
    return [...this.hosts.values()].filter((host) => host.isRunning);
  }

  /** Hosts to which the load balancer sends callers. */
  get balancedHosts(): HostProcess[] {
    return this.runningHosts.filter(
      ({ isPaused, stopRequestedAt }) => !isPaused && stopRequestedAt === Infinity,
    );
  }

  getHost(id: string): HostProcess {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`host ${id} does not run`);
    return host;
  }

  getZoneHosts(zone: string): HostProcess[] {
    return this.runningHosts.filter(({ spec }) => spec.zone === zone);
  }

  /** Starts host `id` as a new process with a higher incarnation. */
  async startHost(id: string): Promise<HostProcess> {
    const seat = this.managedHosts.get(id);
    if (seat === undefined) throw new Error(`host ${id} does not exist`);
    seat.incarnation += 1;
    const host = await HostProcess.start(seat.spec, seat.incarnation, {
      'table-url': `http://${this.platform.table.address}`,
      'objects-url': `http://${this.platform.objectStore.address}`,
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
  async replaceHost(id: string): Promise<HostProcess> {
    const old = this.getHost(id);
    await old.kill();
    const ip = old.spec.ip.replace(/\.(\d+)$/, (_, n: string) => `.${Number(n) + 100}`);
    await this.addHost(`${id}-next`, old.spec.zone, ip);
    this.hosts.delete(id);
    this.platform.hostList.standIn.setHosts(this.getHostListEntries());
    return this.startHost(`${id}-next`);
  }

  /** Submits and confirms an intent on a host; returns the revision. */
  applyIntent(intent: unknown, host = this.runningHosts[0]): Promise<number> {
    if (host === undefined) throw new Error('no host runs');
    return applyIntent(host.operatorAddress, intent);
  }

  /** Waits until all `hosts` have at least `revision` in force. */
  async waitForRevision(revision: number, hosts = this.runningHosts): Promise<void> {
    await waitUntil(async () => {
      const revisions = await Promise.all(hosts.map((host) => getRevision(host.operatorAddress)));
      return revisions.every((current) => current !== undefined && current >= revision);
    });
  }

  /** Makes endpoints leave by intent and notes when all hosts knew. */
  async markEndpointsLeaving(...endpoints: string[]): Promise<void> {
    const intent = { leaving: endpoints.map((endpoint) => ({ endpoint })) };
    await this.waitForRevision(await this.applyIntent(intent));
    for (const endpoint of endpoints) this.leavingKnownAt.set(endpoint, performance.now());
  }

  /** Reads all accepted drafts until they are done. */
  async collectDrafts(): Promise<void> {
    for (const draft of this.callers.drafts.filter(({ location }) => location !== undefined)) {
      const read = async () => {
        for (const host of this.runningHosts)
          if (await this.callers.readDraft(draft, host)) return true;
        return false;
      };
      // A draft that is never done is reported by the checker.
      await waitUntil(read, DRAFT_TIMEOUT_MS).catch(() => undefined);
    }
  }

  async waitUntilReady(hosts = this.runningHosts): Promise<void> {
    await waitUntil(async () => {
      const ready = await Promise.all(hosts.map((host) => isHostReady(host.operatorAddress)));
      return ready.every(Boolean);
    });
  }

  /** Returns the host that the hosts of its zone take for the owner of `engine`. */
  async getEngineOwner(engine: string): Promise<string> {
    const { zone = '' } = this.platform.getEngine(engine);
    const [host] = this.getZoneHosts(zone);
    const owner = host === undefined ? null : await getEngineOwner(host.operatorAddress, engine);
    if (owner === null) throw new Error(`engine ${engine} has no known owner`);
    return owner;
  }

  /** Waits until every running host of each zone names the same running owner for its engines. */
  async waitForOwners(zones = this.layout.zones.map(({ name }) => name)): Promise<void> {
    await waitUntil(async () => {
      const engines = this.platform.engines.filter(({ zone = '' }) => zones.includes(zone));
      for (const { id, zone = '' } of engines) {
        const hosts = this.getZoneHosts(zone);
        const owners = await Promise.all(
          hosts.map(({ operatorAddress }) => getEngineOwner(operatorAddress, id)),
        );
        const owner = owners[0];
        if (!hosts.some(({ spec }) => spec.id === owner)) return false;
        if (owners.some((other) => other !== owner)) return false;
      }
      return true;
    });
  }

  /** Waits until the other hosts of its zone name another owner than `owner` for `engine`. */
  async waitForOtherOwner(engine: string, owner: HostProcess): Promise<void> {
    const others = this.getZoneHosts(owner.spec.zone).filter((host) => host !== owner);
    await waitUntil(async () => {
      const owners = await Promise.all(
        others.map((host) => getEngineOwner(host.operatorAddress, engine)),
      );
      return owners.every((other) => other !== null && other !== owner.spec.id);
    }, 40_000);
  }

  /** Waits until the hosts of its zone take `engine` for live. */
  async waitUntilEngineLive(engine: string): Promise<void> {
    const { zone = '' } = this.platform.getEngine(engine);
    await waitUntil(async () => {
      const hosts = this.getZoneHosts(zone);
      const states = await Promise.all(
        hosts.map((host) => getEngineState(host.operatorAddress, engine)),
      );
      return states.every((state) => state === 'live');
    });
  }

  private async addHost(id: string, zone: string, ip: string): Promise<void> {
    const peerPort = await findFreePort(ip);
    const proxy = Proxy.create({ target: `${ip}:${peerPort}` });
    const peerAddress = await proxy.start();
    const spec = { id, zone, region: this.layout.region, ip, peerPort, peerAddress };
    this.managedHosts.set(id, { spec, proxy, incarnation: 0 });
  }

  private getHostListEntries() {
    return [...this.managedHosts.values()].map(({ spec }) => ({
      id: spec.id,
      kind: 'entry',
      address: spec.peerAddress,
      zone: spec.zone,
      state: 'live' as const,
    }));
  }

  /** Reads the revision of every host again and again, for G8. */
  private sampleRevisions(): void {
    const asked = new Set<HostProcess>();
    this.revisionSampler = setInterval(() => {
      for (const host of this.runningHosts.filter((running) => !asked.has(running))) {
        asked.add(host);
        void getRevision(host.operatorAddress).then((revision) => {
          asked.delete(host);
          if (revision === undefined) return;
          this.revisions.set(host, [...(this.revisions.get(host) ?? []), revision]);
        });
      }
    }, REVISION_SAMPLE_INTERVAL_MS);
  }

  private async stopAll(): Promise<void> {
    clearInterval(this.revisionSampler);
    await Promise.all(this.runs.map((host) => host.kill()));
    await Promise.all([...this.managedHosts.values()].map(({ proxy }) => proxy.stop()));
    await this.platform.stop();
  }
}

const REVISION_SAMPLE_INTERVAL_MS = 250;
/** Time within which an accepted draft must be done once nothing fails any more. */
const DRAFT_TIMEOUT_MS = 45_000;

/** Second part of the hosts' IP numbers; differs between workers, so that their hosts do not meet. */
function getWorkerSubnet(): number {
  return Number(process.env.VITEST_POOL_ID ?? 1);
}

/** Returns a port that is free on `ip`. */
async function findFreePort(ip: string): Promise<number> {
  const server: Server = createServer();
  const address = await listen(server, ip, 0);
  await new Promise((resolve) => server.close(resolve));
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
