import { randomUUID } from 'node:crypto';
import type { z } from 'zod';
import type { EngineReport } from '../../src/engines/types.ts';
import { LaggedValue } from '../laggedValue.ts';
import {
  type ReceivedCall,
  parseJson,
  type Reply,
  type StandIn,
  StandInServer,
} from '../server.ts';
import { AdapterSlots } from './adapterSlots.ts';
import { CompletionBody } from './completion.ts';
import { Batch } from './batch.ts';
import { Job } from './job.ts';
import { EngineFaults, EngineOptions } from './options.ts';
import { getPromptBlocks, PrefixCache } from './prefixCache.ts';
import { newEngineRecords } from './records.ts';
import { ROUTES } from './routes.ts';

/** Number of jobs above which the oldest finished ones are dropped and can no longer be resumed. */
const MAX_REMEMBERED_JOBS = 1_000;

/** Model engine with adapter slots, a continuous batch and a prefix cache. */
export class Engine implements StandIn {
  readonly records = newEngineRecords();
  bootId = '';
  role = 'mixed';
  fencingNumber = 0;
  adapters!: AdapterSlots;
  cache!: PrefixCache;
  private batch!: Batch;
  private loadReport!: LaggedValue<EngineReport>;
  private jobs = new Map<string, Job>();
  private readonly runRecords = new Map<Job, (typeof this.records.runs)[number]>();
  private coldStartTimer: NodeJS.Timeout | undefined;
  private readonly server: StandInServer<EngineFaults>;

  private constructor(readonly options: EngineOptions) {
    this.server = StandInServer.create<EngineFaults>(options, EngineFaults, (call) =>
      this.handle(call),
    );
    this.resetState();
  }

  static create(options: z.input<typeof EngineOptions> = {}): Engine {
    return new Engine(EngineOptions.parse(options));
  }

  get faults(): EngineFaults {
    return this.server.faults;
  }

  start(): Promise<string> {
    return this.server.start();
  }

  async stop(): Promise<void> {
    clearTimeout(this.coldStartTimer);
    this.endAllJobs('cancelled');
    await Promise.all([this.server.stop(), this.adapters.close()]);
  }

  setFaults(change: Partial<EngineFaults>): void {
    this.server.setFaults(change);
  }

  /** Closes all connections and restarts without state; refuses connections during the cold start. */
  crash(): void {
    const requests = [...this.batch.running].map(({ id }) => id);
    this.records.crashes.push({ at: new Date().toISOString(), bootId: this.bootId, requests });
    this.endAllJobs('crashed');
    const { adapters } = this;
    const stopped = Promise.all([this.server.stop(), adapters.close()]);
    this.resetState();
    this.coldStartTimer = setTimeout(() => {
      void stopped.then(() => this.server.start());
    }, this.options.coldStartMs);
  }

  /** Returns the load report as it was `reportLagMs` ago. */
  getLoadReport(): EngineReport {
    return this.loadReport.get();
  }

  /** Returns the running and waiting jobs of `model`. */
  getActiveJobs(model: string): Job[] {
    return [...this.runRecords.keys()].filter((job) => job.body.model === model && !job.hasEnded);
  }

  /** Updates the load report and the records of the runs. */
  updateLoadReport(): void {
    for (const [job, run] of this.runRecords) {
      run.state = job.state;
      run.tokens = job.tokenCount;
      if (job.hasEnded) this.runRecords.delete(job);
    }
    const running: Record<string, number> = {};
    for (const { body } of this.batch.running) running[body.model] = (running[body.model] ?? 0) + 1;
    this.loadReport.set({
      bootId: this.bootId,
      running,
      waiting: this.batch.waitingCount,
      slots: this.options.slots,
      residents: [...this.adapters.residents],
    });
  }

  /** Starts a completion; with `Last-Event-ID`, resumes the one with the same request id. */
  handleCompletion(call: ReceivedCall): Reply | undefined {
    const header = call.headers['x-request-id'];
    const id = typeof header === 'string' ? header : randomUUID();
    const position = call.headers['last-event-id'];
    if (typeof position === 'string') return this.handleResume(call, id, Number(position));
    const parsed = CompletionBody.safeParse(parseJson(call));
    if (!parsed.success) return newErrorReply(400, 'invalid completion request body');
    const { model } = parsed.data;
    if (!this.adapters.residents.has(model)) {
      return newErrorReply(404, `the model "${model}" does not exist`);
    }
    const job = Job.create(id, parsed.data, call.path.includes('/chat/'), this.faults);
    const run = {
      request: id,
      model,
      bootId: this.bootId,
      state: job.state,
      tokens: 0,
      arrivedAt: performance.now(),
    };
    this.records.runs.push(run);
    this.runRecords.set(job, run);
    this.rememberJob(job);
    const remainingMs = Number(call.headers['x-request-deadline-ms']);
    if (remainingMs > 0) job.deadlineTimer = setTimeout(() => this.cancel(job), remainingMs);
    this.attachResponse(job, call, 0);
    this.batch.add(job);
    return undefined;
  }

  private handleResume(call: ReceivedCall, id: string, position: number): Reply | undefined {
    const job = this.jobs.get(id);
    if (job === undefined || job.state === 'cancelled') {
      return newErrorReply(404, `no request "${id}" to resume`);
    }
    clearTimeout(job.abandonTimer);
    this.records.resumes.push({ request: id, position });
    this.attachResponse(job, call, position);
    return undefined;
  }

  private attachResponse(job: Job, { response }: ReceivedCall, position: number): void {
    response.on('close', () => {
      job.detachResponse(response);
      if (job.hasResponse || job.hasEnded) return;
      clearTimeout(job.abandonTimer);
      job.abandonTimer = setTimeout(() => this.cancel(job), this.options.resumeWindowMs);
    });
    job.attachResponse(response, position);
  }

  private cancel(job: Job): void {
    job.end('cancelled');
    this.batch.remove(job);
  }

  private rememberJob(job: Job): void {
    this.jobs.set(job.id, job);
    if (this.jobs.size <= MAX_REMEMBERED_JOBS) return;
    for (const [id, { hasEnded }] of this.jobs) {
      if (hasEnded) this.jobs.delete(id);
      if (this.jobs.size <= MAX_REMEMBERED_JOBS) return;
    }
  }

  private admitJob(job: Job): boolean {
    const { crashOn } = this.faults;
    if (crashOn !== '' && job.prompt.includes(crashOn)) {
      this.crash();
      return false;
    }
    const blocks = getPromptBlocks(job.body.model, job.prompt);
    const missing = blocks.length - this.cache.getHitCount(blocks);
    job.prefillSteps = Math.ceil(missing / this.options.blocksPerStep);
    this.cache.store(blocks);
    return true;
  }

  private endAllJobs(state: 'cancelled' | 'crashed'): void {
    for (const job of this.batch.clear()) job.end(state);
    this.updateLoadReport();
  }

  private resetState(): void {
    this.bootId = randomUUID();
    this.fencingNumber = 0;
    this.role = 'mixed';
    this.jobs = new Map();
    this.adapters = AdapterSlots.create(this.options.id, this.options.slots);
    this.cache = PrefixCache.create(this.options);
    this.batch = Batch.create(
      this.options,
      (job) => this.admitJob(job),
      () => this.updateLoadReport(),
    );
    this.loadReport = LaggedValue.create<EngineReport>(this.options.reportLagMs, {
      bootId: this.bootId,
      running: {},
      waiting: 0,
      slots: this.options.slots,
      residents: [],
    });
  }

  private handle(call: ReceivedCall): Reply | undefined | Promise<Reply | undefined> {
    const route = ROUTES[`${call.method} ${call.path}`];
    return route === undefined
      ? newErrorReply(404, `no route for ${call.method} ${call.path}`)
      : route(this, call);
  }
}

/** Returns an error reply in the format of the OpenAI API. */
export function newErrorReply(status: number, message: string): Reply {
  return { status, body: { error: { message, type: 'invalid_request_error' } } };
}
