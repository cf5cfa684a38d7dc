import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/base/random.ts';
import type { Deployment } from './deployment.ts';
import type { HostProcess } from './hostProcess.ts';
import { FIRMS, getFirmAdapters, VERSIONS } from './layouts.ts';

export interface WorkloadOptions {
  seed: number;
  /** Callers that send one request after another. */
  callers?: number;
  /** Hosts that callers are sent to; all running ones otherwise. */
  getHosts?: () => HostProcess[];
  /** Adapters of each firm that are asked for. */
  adapters?: number;
}

const DEADLINE_MS = 15_000;
/** Times that a caller sends an action again whose outcome it does not know. */
const MAX_ACTION_RETRIES = 2;

/** Callers of both firms that send completions and actions until told to stop. */
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

  /** Number of complete answers so far. */
  get completedCount(): number {
    return this.deployment.callers.completions.filter(({ isComplete }) => isComplete).length;
  }

  /** Sends nothing more and waits for all answers. */
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
    // The first adapters are asked for most.
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
