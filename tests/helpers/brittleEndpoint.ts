import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeServer, listen, type StandIn } from '../../stand-ins/server.ts';

/** Requests that run at once, and time that each takes in ms. */
const SLOTS = 4;
const WORK_MS = 100;
/** Requests that may wait, before the endpoint is brittle for `SHRINK_AFTER_MS` and after. */
const ROOM = 24;
const REDUCED_ROOM = 4;
const SHRINK_AFTER_MS = 3_000;
/** Time for which it is down after it fell over, and in which refusals are counted. */
const DOWN_MS = 3_000;
const REFUSAL_WINDOW_MS = 1_000;

/** Endpoint of a plain service that falls over if it turns too many requests away in a second. */
export class BrittleEndpoint implements StandIn {
  falls = 0;
  private waiting = 0;
  private running = 0;
  private readonly turns: (() => void)[] = [];
  private refusals: number[] = [];
  private brittleSince: number | undefined;
  private server: Server | undefined;
  private port = 0;
  private isStopped = false;

  private constructor(private readonly maxRefusalsPerS: number) {}

  static create(maxRefusalsPerS: number): BrittleEndpoint {
    return new BrittleEndpoint(maxRefusalsPerS);
  }

  becomeBrittle(): void {
    this.brittleSince = performance.now();
  }

  async start(): Promise<string> {
    this.server = createServer((request, response) => void this.handle(request, response));
    const address = await listen(this.server, '127.0.0.1', this.port);
    this.port = Number(address.split(':')[1]);
    return address;
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.close();
  }

  private async close(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume();
    const room = this.getRoom();
    if (this.running >= SLOTS && this.waiting >= room) {
      response.writeHead(503, { ...this.getHeaders(request), 'not-executed': '1' }).end();
      this.countRefusal();
      return;
    }
    if (this.running >= SLOTS) {
      this.waiting += 1;
      await new Promise<void>((resolve) => this.turns.push(resolve));
      this.waiting -= 1;
    }
    this.running += 1;
    await sleep(WORK_MS);
    this.running -= 1;
    this.turns.shift()?.();
    if (!response.destroyed) response.writeHead(200, this.getHeaders(request)).end('done');
  }

  private getRoom(): number {
    const { brittleSince } = this;
    if (brittleSince === undefined) return ROOM;
    return performance.now() - brittleSince < SHRINK_AFTER_MS ? ROOM : REDUCED_ROOM;
  }

  private countRefusal(): void {
    const now = performance.now();
    this.refusals = [...this.refusals.filter((at) => at + REFUSAL_WINDOW_MS > now), now];
    if (this.brittleSince === undefined || this.refusals.length <= this.maxRefusalsPerS) return;
    this.falls += 1;
    this.refusals = [];
    void this.close().then(async () => {
      await sleep(DOWN_MS);
      if (!this.isStopped) await this.start();
    });
  }

  private getHeaders({ headers }: IncomingMessage): Record<string, string> {
    const brittle: Record<string, string> =
      this.brittleSince === undefined ? {} : { 'server-brittle': String(this.maxRefusalsPerS) };
    return { 'attempt-id': String(headers['attempt-id']), 'response-seal': 's', ...brittle };
  }
}
