import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { GATEWAY_BUNDLE } from './buildBundle.ts';
import { findFreePort } from './freePort.ts';

/** A gateway as a child process, configured by a settings file. */
export class GatewayProcess {
  /** Parsed log lines. */
  readonly log: Record<string, unknown>[] = [];
  exitCode: number | null = null;
  isRunning = true;

  private constructor(
    readonly frontAddress: string,
    readonly readinessAddress: string,
    readonly metricsAddress: string,
    private readonly folder: string,
    private readonly settings: Record<string, string>,
    private readonly child: ChildProcess,
    private readonly exited: Promise<void>,
  ) {}

  /** Starts host `id` with the directory at `storeAddress`. */
  static async start(
    id: string,
    storeAddress: string,
    change: Record<string, string> = {},
    nodeFlags: readonly string[] = [],
  ): Promise<GatewayProcess> {
    const [front, ready, peers, metrics] = await Promise.all(
      [1, 2, 3, 4].map(async () => `127.0.0.1:${await findFreePort('127.0.0.1')}`),
    );
    const settings = {
      FIREFLYWICK_HOST_ID: id,
      FIREFLYWICK_ZONE: 'z1',
      FIREFLYWICK_REGION: 'r1',
      FIREFLYWICK_FRONT_LISTEN: front ?? '',
      FIREFLYWICK_READY_LISTEN: ready ?? '',
      FIREFLYWICK_PEER_LISTEN: peers ?? '',
      FIREFLYWICK_PEER_ADDRESS: peers ?? '',
      FIREFLYWICK_METRICS_LISTEN: metrics ?? '',
      FIREFLYWICK_DIRECTORY_URL: `http://${storeAddress}`,
      FIREFLYWICK_LAME_DUCK: '300ms',
      ...change,
    };
    const folder = mkdtempSync(join(tmpdir(), 'fireflywick-'));
    writeSettings(folder, settings);
    const file = join(folder, 'host.env');
    const argv = [...nodeFlags, GATEWAY_BUNDLE, 'gateway', `--settings-file=${file}`];
    const child = spawn(process.execPath, argv, { stdio: ['ignore', 'pipe', 'inherit'], env: {} });
    const exited = once(child, 'exit');
    const gateway = new GatewayProcess(
      front ?? '',
      ready ?? '',
      metrics ?? '',
      folder,
      settings,
      child,
      exited.then(() => undefined),
    );
    void exited.then(([code]) => {
      gateway.exitCode = code as number | null;
      gateway.isRunning = false;
    });
    createInterface({ input: child.stdout }).on('line', (line) => {
      gateway.log.push(JSON.parse(line) as Record<string, unknown>);
    });
    return gateway;
  }

  /** Rewrites the settings file. */
  updateSettings(settings: Record<string, string>): void {
    writeSettings(this.folder, { ...this.settings, ...settings });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process and removes its settings folder. */
  async kill(): Promise<void> {
    if (this.isRunning) this.child.kill('SIGKILL');
    await this.exited;
    rmSync(this.folder, { recursive: true, force: true });
  }

  async waitForExit(): Promise<number | null> {
    await this.exited;
    return this.exitCode;
  }

  hasLogged(message: string): boolean {
    return this.countLogged(message) > 0;
  }

  /** Returns the number of log lines with `message`. */
  countLogged(message: string): number {
    return this.log.filter((line) => line.message === message).length;
  }

  /** Returns the status of the readiness check; 0 if the gateway does not answer. */
  async getReadyStatus(): Promise<number> {
    try {
      return (await fetch(`http://${this.readinessAddress}/-/ready`)).status;
    } catch {
      return 0;
    }
  }
}

function writeSettings(folder: string, settings: Record<string, string>): void {
  const lines = Object.entries(settings).map(([name, value]) => `${name}=${value}\n`);
  writeFileSync(join(folder, 'host.env'), lines.join(''));
}
