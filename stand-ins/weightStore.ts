import { z } from 'zod';
import { TokenBucket } from '../src/base/tokenBucket.ts';
import {
  type ReceivedCall,
  CommonFaults,
  ListenOptions,
  type Reply,
  type StandIn,
  StandInServer,
} from './server.ts';

const Options = ListenOptions.extend({
  /** Loads that may start per second. */
  loadsPerS: z.number().positive().default(4),
  /** Duration of a load at full speed. */
  loadMs: z.number().min(0).default(250),
  /** Number of loads in flight up to which each runs at full speed. */
  fullSpeedLoads: z.int().min(1).default(8),
});

const Faults = CommonFaults.extend({
  /** Adapters, as `adapter@version`, whose loads fail after the duration of a load. */
  failLoadsOf: z.array(z.string()).default([]),
});
type Faults = z.infer<typeof Faults>;

interface RunningLoad {
  engine: string;
  remainingMs: number;
  finish: () => void;
}

/** Rate-limited store of adapter weights; each GET is a load for the engine in the header `X-Engine`. */
export class WeightStore implements StandIn {
  /** Maximum number of concurrent loads so far, and the loads that succeeded. */
  readonly records = { maxInFlight: 0, loads: [] as { engine: string; model: string }[] };
  private readonly server: StandInServer<Faults>;
  private readonly startBucket: TokenBucket;
  private readonly waiting: (() => void)[] = [];
  private readonly inFlight = new Set<RunningLoad>();
  private advancedAt = 0;
  private startTimer: NodeJS.Timeout | undefined;
  private finishTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: z.infer<typeof Options>) {
    const { loadsPerS } = options;
    const burst = Math.max(1, loadsPerS);
    this.startBucket = TokenBucket.create(loadsPerS, burst, performance.now(), burst);
    this.server = StandInServer.create<Faults>(options, Faults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof Options> = {}): WeightStore {
    return new WeightStore(Options.parse(options));
  }

  start(): Promise<string> {
    return this.server.start();
  }

  stop(): Promise<void> {
    clearTimeout(this.startTimer);
    clearTimeout(this.finishTimer);
    return this.server.stop();
  }

  setFaults(change: Partial<Faults>): void {
    this.server.setFaults(change);
  }

  /** Resolves when the load finishes; its duration depends on the concurrent loads. */
  async load(engine: string): Promise<void> {
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
      this.startWaitingLoads();
    });
    await this.runLoad(engine);
  }

  private async handle(call: ReceivedCall): Promise<Reply> {
    if (call.path === '/records') return { status: 200, body: this.records };
    if (call.method !== 'GET') return { status: 405 };
    const engine = String(call.headers['x-engine'] ?? '');
    const model = String(call.headers['x-adapter'] ?? call.path.split('/').at(-1));
    await this.load(engine);
    if (this.server.faults.failLoadsOf.includes(model)) return { status: 500 };
    this.records.loads.push({ engine, model });
    return { status: 200, body: { model } };
  }

  private startWaitingLoads(): void {
    clearTimeout(this.startTimer);
    while (this.waiting.length > 0 && this.startBucket.tryTake(performance.now()))
      this.waiting.shift()?.();
    if (this.waiting.length === 0) return;
    const waitMs = this.startBucket.getWaitMs(performance.now());
    this.startTimer = setTimeout(() => this.startWaitingLoads(), waitMs);
  }

  private runLoad(engine: string): Promise<void> {
    return new Promise((finish) => {
      this.advanceLoads();
      this.inFlight.add({ engine, remainingMs: this.options.loadMs, finish });
      this.records.maxInFlight = Math.max(this.records.maxInFlight, this.inFlight.size);
      this.scheduleNextFinish();
    });
  }

  /** Returns the current speed of `load` as a fraction of full speed; loads of one engine share its speed. */
  private getSpeed(load: RunningLoad): number {
    const ofEngine = [...this.inFlight].filter(({ engine }) => engine === load.engine).length;
    return Math.min(1, this.options.fullSpeedLoads / this.inFlight.size) / ofEngine;
  }

  private advanceLoads(): void {
    const now = performance.now();
    const elapsedMs = now - this.advancedAt;
    this.advancedAt = now;
    const speeds = new Map([...this.inFlight].map((load) => [load, this.getSpeed(load)]));
    for (const [load, speed] of speeds) {
      load.remainingMs -= elapsedMs * speed;
      if (load.remainingMs > 0) continue;
      this.inFlight.delete(load);
      load.finish();
    }
  }

  private scheduleNextFinish(): void {
    clearTimeout(this.finishTimer);
    if (this.inFlight.size === 0) return;
    const waits = [...this.inFlight].map((load) => load.remainingMs / this.getSpeed(load));
    this.finishTimer = setTimeout(
      () => {
        this.advanceLoads();
        this.scheduleNextFinish();
      },
      Math.max(1, Math.ceil(Math.min(...waits))),
    );
  }
}
