import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/base/random.ts';
import type { Deployment } from './deployment.ts';
import type { HostProcess } from './hostProcess.ts';
import { FIRMS, getAdapters, VERSIONS } from './layouts.ts';

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
const REPEATS = 2;

/** Callers of both firms that send completions and actions until told to stop. */
export class Workload {
  private isStopping = false;
  private loops: Promise<void>[] = [];

  private constructor(
    private readonly deployment: Deployment,
    private readonly options: WorkloadOptions,
  ) {}

  static start(deployment: Deployment, options: WorkloadOptions): Workload {
    const workload = new Workload(deployment, options);
    const { callers = 12 } = options;
    workload.loops = Array.from({ length: callers }, (_, n) => workload.run(n));
    return workload;
  }

  /** Number of complete answers so far. */
  get completed(): number {
    return this.deployment.callers.completions.filter(({ isComplete }) => isComplete).length;
  }

  /** Sends nothing more and waits for all answers. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.loops);
  }

  private async run(caller: number): Promise<void> {
    const { seed } = this.options;
    const random = Random.create(seed * 1_000 + caller);
    for (let n = 0; !this.isStopping; n++) {
      const hosts = this.options.getHosts?.() ?? this.deployment.balanced;
      const host = hosts[random.getInteger(Math.max(1, hosts.length))];
      const name = `${seed}-${caller}-${n}`;
      if (host === undefined) await sleep(50);
      else if (random.getInteger(5) === 0) await this.act(host, name, random);
      else if (random.getInteger(10) === 0) await this.draft(host, name, random);
      else await this.complete(host, name, random);
      await sleep(5 + random.getInteger(30));
    }
  }

  private async complete(host: HostProcess, name: string, random: Random): Promise<void> {
    const firm = FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas';
    const adapters = getAdapters(firm).slice(0, this.options.adapters ?? 3);
    // The first adapters are asked for most.
    const adapter = adapters[Math.floor(random.getFraction() ** 2 * adapters.length)] ?? '';
    await this.deployment.callers.complete({
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

  private async draft(host: HostProcess, name: string, random: Random): Promise<void> {
    const adapter = getAdapters(FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas')[0] ?? '';
    await this.deployment.callers.submit({ host, adapter, prompt: `draft ${name}` });
  }

  private async act(host: HostProcess, name: string, random: Random): Promise<void> {
    const { callers, layout } = this.deployment;
    const firm = FIRMS[random.getInteger(FIRMS.length)] ?? 'atlas';
    const call = { service: layout.service, key: `${firm}-${name}` };
    let answer = await callers.call({ host, ...call });
    for (let n = 0; n < REPEATS && answer.status !== 200; n++) {
      await sleep(200);
      const { balanced } = this.deployment;
      const next = balanced[random.getInteger(Math.max(1, balanced.length))];
      if (next !== undefined) answer = await callers.call({ host: next, ...call });
    }
  }
}
