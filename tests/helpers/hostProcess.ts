import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { BUNDLE } from './buildBundle.ts';

const MAX_LOG_LINES = 2_000;

export interface HostSpec {
  id: string;
  zone: string;
  region: string;
  /** Loopback IP number of the host. */
  ip: string;
  /** Port of its peer listener, which it keeps over restarts. */
  peerPort: number;
  /** Address of the proxy before its peer listener. */
  peerAddress: string;
}

/** What the ready line tells. */
interface ReadyLine {
  callerPort: number;
  operatorPort?: number;
}

/** One run of an entry host as a child process. */
export class HostProcess {
  /** Standard output and error, for the message of a failed test. */
  readonly log: string[] = [];
  callerAddress = '';
  operatorAddress = '';
  /** Monotonic ms at which SIGTERM was sent. */
  stopRequestedAt = Infinity;
  /** Monotonic ms at which the process ended. */
  exitedAt = Infinity;
  exitCode: number | null = null;
  isPaused = false;
  /** Whether it was paused at some time, so that callers may have given up on it. */
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

  /** Starts the process and resolves when it listens. */
  static async start(
    place: HostSpec,
    incarnation: number,
    settings: Record<string, string>,
  ): Promise<HostProcess> {
    const flags = Object.entries({
      'host-id': place.id,
      zone: place.zone,
      region: place.region,
      incarnation: String(incarnation),
      'caller-listen': `${place.ip}:0`,
      'operator-listen': `${place.ip}:0`,
      'peer-listen': `${place.ip}:${place.peerPort}`,
      'peer-address': place.peerAddress,
      'source-address': place.ip,
      ...settings,
    }).map(([name, value]) => `--${name}=${value}`);
    const child = spawn(process.execPath, [BUNDLE, 'entry', ...flags], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {},
    });
    const host = new HostProcess(place, incarnation, child);
    const ports = await host.waitForReadyLine();
    host.callerAddress = `${place.ip}:${ports.callerPort}`;
    host.operatorAddress = `${place.ip}:${ports.operatorPort ?? 0}`;
    return host;
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

  /** Stops gracefully; resolves with the exit code. */
  async stop(): Promise<number | null> {
    this.stopRequestedAt = performance.now();
    this.child.kill('SIGTERM');
    await this.exited;
    return this.exitCode;
  }

  private async waitForReadyLine(): Promise<ReadyLine> {
    const { stdout, stderr } = this.child;
    if (stdout === null || stderr === null) throw new Error('the process has no output');
    const ready = new Promise<ReadyLine>((resolve) => {
      createInterface({ input: stdout }).on('line', (line) => {
        this.appendLogLine(line);
        if (line.includes('"ready":true')) resolve(JSON.parse(line) as ReadyLine);
      });
    });
    createInterface({ input: stderr }).on('line', (line) => this.appendLogLine(line));
    const failed = this.exited.then(() => {
      throw new Error(`host ${this.spec.id} ended early: ${this.log.join('\n')}`);
    });
    failed.catch(() => undefined);
    return Promise.race([ready, failed]);
  }

  private appendLogLine(line: string): void {
    this.log.push(line);
    if (this.log.length > MAX_LOG_LINES) this.log.shift();
  }
}
