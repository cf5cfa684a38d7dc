import { sha256 } from '../../src/base/hash.ts';
import { FaultProxy } from '../../stand-ins/proxy/faultProxy.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { Callers, getCallerKey, OPERATOR_KEY } from './callers.ts';
import { findFreePort } from './freePort.ts';
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

/** A host of the layout; keeps its identity and peer proxy over restarts. */
interface ManagedHost {
  spec: HostSpec;
  proxy: FaultProxy;
  incarnation: number;
}

/** Entry hosts as child processes; the stand-ins of their platform run in the test process. */
export class Deployment {
  readonly callers = Callers.create();
  readonly network: Network;
  /** Latest process of each host, by host id. */
  readonly hosts = new Map<string, HostProcess>();
  /** All processes of all hosts, for the checker. */
  readonly runs: HostProcess[] = [];
  /** Monotonic ms from which all running hosts know that an endpoint leaves, by endpoint id. */
  readonly leavingKnownAt = new Map<string, number>();
  /** Configuration revisions that each process reported, in order of time. */
  readonly revisions = new Map<HostProcess, number[]>();
  private readonly managedHosts = new Map<string, ManagedHost>();
  private revisionSampler: NodeJS.Timeout | undefined;

  private constructor(
    readonly layout: Layout,
    readonly platform: DeploymentPlatform,
    private readonly settings: Record<string, string>,
    private readonly nodeFlags: readonly string[],
  ) {
    this.network = Network.create(
      () => [
        ...platform.proxiedStandIns,
        ...[...this.managedHosts.values()].map(({ spec, proxy }) => ({ proxy, zone: spec.zone })),
      ],
      () => [...this.managedHosts.values()].map(({ spec }) => spec),
    );
  }

  /** Starts the platform and all hosts of the layout; they are stopped after the test. */
  static async start(
    layout: Layout,
    settings: Record<string, string> = {},
    nodeFlags: readonly string[] = [],
  ): Promise<Deployment> {
    const platform = await DeploymentPlatform.start(layout);
    const deployment = new Deployment(layout, platform, settings, nodeFlags);
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

  /** Hosts to which a load balancer would route callers: not paused and not stopping. */
  get balancedHosts(): HostProcess[] {
    return this.runningHosts.filter(
      ({ isPaused, stopRequestedAt }) => !isPaused && stopRequestedAt === Infinity,
    );
  }

  getHost(id: string): HostProcess {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`no process of host ${id} exists`);
    return host;
  }

  getZoneHosts(zone: string): HostProcess[] {
    return this.runningHosts.filter(({ spec }) => spec.zone === zone);
  }

  /** Starts host `id` as a new process with a higher incarnation. */
  async startHost(id: string): Promise<HostProcess> {
    const managedHost = this.managedHosts.get(id);
    if (managedHost === undefined) throw new Error(`host ${id} does not exist`);
    managedHost.incarnation += 1;
    const host = await HostProcess.start(
      managedHost.spec,
      managedHost.incarnation,
      {
        'table-url': `http://${this.platform.table.address}`,
        'objects-url': `http://${this.platform.objectStore.address}`,
        'hosts-url': `http://${this.platform.hostList.address}`,
        keys: KEYS,
        'loads-per-second': String(LOADS_PER_S),
        ...this.settings,
      },
      this.nodeFlags,
    );
    this.hosts.set(id, host);
    this.runs.push(host);
    return host;
  }

  /** Kills a host and starts another one in its zone, with a new id and address. */
  async replaceHost(id: string): Promise<HostProcess> {
    const old = this.getHost(id);
    await old.kill();
    const ip = old.spec.ip.replace(/\.(\d+)$/, (_, n: string) => `.${Number(n) + 100}`);
    await this.addHost(`${id}-next`, old.spec.zone, ip);
    this.hosts.delete(id);
    this.platform.hostList.standIn.setHosts(this.getHostListEntries());
    return this.startHost(`${id}-next`);
  }

  /** Submits an intent to `host` and confirms its plan; returns the new revision. */
  applyIntent(intent: unknown, host = this.runningHosts[0]): Promise<number> {
    if (host === undefined) throw new Error('no host of the deployment is running');
    return applyIntent(host.operatorAddress, intent);
  }

  /** Waits until `revision` or a later one is in force on all `hosts`. */
  async waitForRevision(revision: number, hosts = this.runningHosts): Promise<void> {
    await waitUntil(async () => {
      const revisions = await Promise.all(hosts.map((host) => getRevision(host.operatorAddress)));
      return revisions.every((current) => current !== undefined && current >= revision);
    });
  }

  /** Marks endpoints as leaving by an intent and records when all running hosts know it. */
  async markEndpointsLeaving(...endpoints: string[]): Promise<void> {
    const intent = { leaving: endpoints.map((endpoint) => ({ endpoint })) };
    await this.waitForRevision(await this.applyIntent(intent));
    for (const endpoint of endpoints) this.leavingKnownAt.set(endpoint, performance.now());
  }

  /** Reads each accepted draft until it is done or DRAFT_TIMEOUT_MS passed. */
  async collectDrafts(): Promise<void> {
    for (const draft of this.callers.drafts.filter(({ location }) => location !== undefined)) {
      const read = async () => {
        for (const host of this.runningHosts)
          if (await this.callers.readDraft(draft, host)) return true;
        return false;
      };
      // The checker reports a draft that is not done.
      await waitUntil(read, DRAFT_TIMEOUT_MS).catch(() => undefined);
    }
  }

  async waitUntilReady(hosts = this.runningHosts): Promise<void> {
    await waitUntil(async () => {
      const ready = await Promise.all(hosts.map((host) => isHostReady(host.operatorAddress)));
      return ready.every(Boolean);
    });
  }

  /** Returns the owner of `engine` according to a host of the zone of the engine. */
  async getEngineOwner(engine: string): Promise<string> {
    const { zone = '' } = this.platform.getEngine(engine);
    const [host] = this.getZoneHosts(zone);
    const owner = host === undefined ? null : await getEngineOwner(host.operatorAddress, engine);
    if (owner === null)
      throw new Error(`no host of zone "${zone}" reports an owner of engine ${engine}`);
    return owner;
  }

  /** Waits until all running hosts of each zone report the same running owner of its engines. */
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

  /** Waits until the other hosts of the zone of `owner` report another owner of `engine`. */
  async waitForOtherOwner(engine: string, owner: HostProcess): Promise<void> {
    const others = this.getZoneHosts(owner.spec.zone).filter((host) => host !== owner);
    await waitUntil(async () => {
      const owners = await Promise.all(
        others.map((host) => getEngineOwner(host.operatorAddress, engine)),
      );
      return owners.every((other) => other !== null && other !== owner.spec.id);
    }, 40_000);
  }

  /** Waits until all hosts of the zone of `engine` report it as live. */
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
    const proxy = FaultProxy.create({ target: `${ip}:${peerPort}` });
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

  /** Polls the revision of every running host; the checker verifies that it never decreases (G8). */
  private sampleRevisions(): void {
    const hostsBeingPolled = new Set<HostProcess>();
    this.revisionSampler = setInterval(() => {
      for (const host of this.runningHosts.filter((host) => !hostsBeingPolled.has(host))) {
        hostsBeingPolled.add(host);
        void getRevision(host.operatorAddress).then((revision) => {
          hostsBeingPolled.delete(host);
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
/** Limit for an accepted draft to be done after the faults have ended. */
const DRAFT_TIMEOUT_MS = 45_000;

/** Returns the second octet of the hosts' IP addresses, which separates the hosts of parallel test workers. */
function getWorkerSubnet(): number {
  return Number(process.env.VITEST_POOL_ID ?? 1);
}
