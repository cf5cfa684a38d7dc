import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/base/random.ts';
import type { Deployment } from './deployment.ts';
import type { HostProcess } from './hostProcess.ts';
import { FIRMS, getFirmAdapters, VERSIONS } from './layouts.ts';

export interface WorkloadOptions {
  seed: number;
  /** Number of concurrent callers; each sends its requests one after another. */
  callers?: number;
  /** Hosts that receive the requests; by default those that the load balancer uses. */
  getHosts?: () => HostProcess[];
  /** Number of adapters of each firm that requests name. */
  adapters?: number;
}

const DEADLINE_MS = 15_000;
/** Retries of an action that was not answered with status 200. */
const MAX_ACTION_RETRIES = 2;

/** Callers of all firms that send completions, drafts and actions until `stop` is called. */
export class CallerWorkload {
  private isStopping = false;
  private callerLoops: Promise<void>[] = [];

  private constructor(
    private readonly deployment: Deployment,
    private readonly options: WorkloadOptions,
  ) {}

  static start(deployment: Deployment, options: WorkloadOptions): CallerWorkload {
    const workload = new CallerWorkload(deployment, options);
    const { callers = 12 } = options;
    workload.callerLoops = Array.from({ length: callers }, (_, n) => workload.runCaller(n));
    return workload;
  }

  /** Number of complete responses so far. */
  get completedCount(): number {
    return this.deployment.callers.completions.filter(({ isComplete }) => isComplete).length;
  }

  /** Sends no more requests and waits for the responses to those in flight. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.callerLoops);
  }

  private async runCaller(caller: number): Promise<void> {
    const { seed } = this.options;
    const random = Random.create(seed * 1_000 + caller);
    for (let n = 0; !this.isStopping; n++) {
      const hosts = this.options.getHosts?.() ?? this.deployment.balancedHosts;
      const host = hosts[random.getInteger(Math.max(1, hosts.length))];
      const name = `${seed}-${caller}-${n}`;
      if (host === undefined) await sleep(50);
      else if (random.getInteger(5) === 0) await this.callService(host, name, random);
      else if (random.getInteger(10) === 0) await this.submitDraft(host, name, random);
      else await this.sendCompletion(host, name, random);
      await sleep(5 + random.getInteger(30));
    }
  }

  private async sendCompletion(host: HostProcess, name: string, random: Random): Promise<void> {
    const firm = FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas';
    const adapters = getFirmAdapters(firm).slice(0, this.options.adapters ?? 3);
    // Squaring the fraction makes requests for the first adapters the most frequent.
    const adapter = adapters[Math.floor(random.getFraction() ** 2 * adapters.length)] ?? '';
    await this.deployment.callers.sendCompletion({
      host,
      adapter,
      version: VERSIONS[random.getInteger(5) === 0 ? 0 : 1],
      prompt: `prompt ${name}`,
      maxTokens: 4 + random.getInteger(20),
      isStream: random.getInteger(2) === 0,
      headers: {
        'x-request-deadline-ms': String(DEADLINE_MS),
        ...(random.getInteger(4) === 0 ? { 'x-request-kind': 'urgent' } : {}),
      },
    });
  }

  private async submitDraft(host: HostProcess, name: string, random: Random): Promise<void> {
    const adapter = getFirmAdapters(FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas')[0] ?? '';
    await this.deployment.callers.submitDraft({ host, adapter, prompt: `draft ${name}` });
  }

  private async callService(host: HostProcess, name: string, random: Random): Promise<void> {
    const { callers, layout } = this.deployment;
    const firm = FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas';
    const call = { service: layout.service, key: `${firm}-${name}` };
    let answer = await callers.callService({ host, ...call });
    for (let n = 0; n < MAX_ACTION_RETRIES && answer.status !== 200; n++) {
      await sleep(200);
      const { balancedHosts } = this.deployment;
      const next = balancedHosts[random.getInteger(Math.max(1, balancedHosts.length))];
      if (next !== undefined) answer = await callers.callService({ host: next, ...call });
    }
  }
}
