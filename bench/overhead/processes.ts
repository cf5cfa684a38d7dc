import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** Clock ticks per second, the unit of the CPU times in /proc/PID/stat on Linux. */
const TICKS_PER_S = 100;
/** Indexes of user and system time in /proc/PID/stat, counted after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Child process whose CPU time the bench measures. */
export class MeasuredProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Parsed first line of the output, which the process prints when it is ready. */
    readonly readyLine: Record<string, unknown>,
  ) {}

  /** Starts Node.js with `args` and waits for the first line of its output. */
  static async create(args: string[], env: Record<string, string> = {}): Promise<MeasuredProcess> {
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { ...process.env, ...env },
    });
    const lines = createInterface({ input: child.stdout });
    const [line] = (await once(lines, 'line')) as [string];
    return new MeasuredProcess(child, JSON.parse(line) as Record<string, unknown>);
  }

  /** Returns the user and system time used so far, in ms. */
  getCpuMs(): number {
    const stat = readFileSync(`/proc/${this.child.pid ?? 0}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return (ticks * 1000) / TICKS_PER_S;
  }

  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }
}
