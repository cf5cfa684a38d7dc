import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { BUNDLE } from './buildBundle.ts';

const MAX_LOG_LINES = 2_000;
/** Limit for a started process to report that it is ready. */
const READY_TIMEOUT_MS = 30_000;

export interface HostSpec {
  id: string;
  zone: string;
  region: string;
  /** Loopback IP address of the host. */
  ip: string;
  /** Port of the peer listener; stays the same over restarts. */
  peerPort: number;
  /** Address of the proxy in front of the peer listener. */
  peerAddress: string;
}

/** Fields of the log line that reports readiness. */
interface ReadyLine {
  callerPort: number;
  operatorPort?: number;
}

/** An entry host as a child process. */
export class HostProcess {
  /** Last lines of standard output and error, kept to explain a failed test. */
  readonly log: string[] = [];
  callerAddress = '';
  operatorAddress = '';
  /** Monotonic ms at which SIGTERM was sent. */
  stopRequestedAt = Infinity;
  /** Monotonic ms at which the process exited. */
  exitedAt = Infinity;
  exitCode: number | null = null;
  isPaused = false;
  /** Whether the process was ever paused; callers may then have timed out. */
  wasPaused = false;
  private readonly exited: Promise<void>;

  private constructor(
    readonly spec: HostSpec,
    readonly incarnation: number,
    private readonly child: ChildProcess,
  ) {
    this.exited = once(child, 'exit').then(([code]) => {
      this.exitCode = code as number | null;
      this.exitedAt = performance.now();
    });
  }

  /**
   * Starts the process and resolves once it reports that it is ready. A process that is not ready in
   * time is killed; the error contains its log.
   */
  static async start(
    spec: HostSpec,
    incarnation: number,
    settings: Record<string, string>,
    nodeFlags: readonly string[] = [],
  ): Promise<HostProcess> {
    const flags = Object.entries({
      'host-id': spec.id,
      zone: spec.zone,
      region: spec.region,
      incarnation: String(incarnation),
      'caller-listen': `${spec.ip}:0`,
      'operator-listen': `${spec.ip}:0`,
      'peer-listen': `${spec.ip}:${spec.peerPort}`,
      'peer-address': spec.peerAddress,
      'source-address': spec.ip,
      ...settings,
    }).map(([name, value]) => `--${name}=${value}`);
    const child = spawn(process.execPath, [...nodeFlags, BUNDLE, 'entry', ...flags], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {},
    });
    const host = new HostProcess(spec, incarnation, child);
    const ports = await host.waitForReadyLine().catch(async (error: unknown) => {
      await host.kill();
      throw error;
    });
    host.callerAddress = `${spec.ip}:${ports.callerPort}`;
    host.operatorAddress = `${spec.ip}:${ports.operatorPort ?? 0}`;
    return host;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.exitedAt === Infinity;
  }

  pause(): void {
    this.isPaused = true;
    this.wasPaused = true;
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.isPaused = false;
    this.child.kill('SIGCONT');
  }

  async kill(): Promise<void> {
    if (this.isRunning) this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Stops the process gracefully by SIGTERM; resolves with its exit code. */
  async stop(): Promise<number | null> {
    this.stopRequestedAt = performance.now();
    this.child.kill('SIGTERM');
    await this.exited;
    return this.exitCode;
  }

  private async waitForReadyLine(): Promise<ReadyLine> {
    const { stdout, stderr } = this.child;
    if (stdout === null || stderr === null)
      throw new Error('stdout and stderr of the host process are not piped');
    const ready = new Promise<ReadyLine>((resolve) => {
      createInterface({ input: stdout }).on('line', (line) => {
        this.appendLogLine(line);
        if (line.includes('"ready":true')) resolve(JSON.parse(line) as ReadyLine);
      });
    });
    createInterface({ input: stderr }).on('line', (line) => this.appendLogLine(line));
    const failed = this.exited.then(() => {
      throw new Error(`host ${this.spec.id} exited before it was ready: ${this.log.join('\n')}`);
    });
    failed.catch(() => undefined);
    const expired = sleep(READY_TIMEOUT_MS, undefined, { ref: false }).then(() => {
      throw new Error(
        `host ${this.spec.id} was not ready after ${READY_TIMEOUT_MS} ms: ${this.log.join('\n')}`,
      );
    });
    expired.catch(() => undefined);
    return Promise.race([ready, failed, expired]);
  }

  private appendLogLine(line: string): void {
    this.log.push(line);
    if (this.log.length > MAX_LOG_LINES) this.log.shift();
  }
}
