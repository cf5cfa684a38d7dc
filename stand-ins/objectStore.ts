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
  writesPerS: z.number().min(0).default(500),
  readsPerS: z.number().min(0).default(2_000),
});

/** In-memory object store with conditional writes and rate limits. */
export class ObjectStore implements StandIn {
  readonly objects = new Map<string, { body: string; version: string }>();
  private lastVersion = 0;
  private readonly server: StandInServer;
  private readonly writeBucket: TokenBucket;
  private readonly readBucket: TokenBucket;

  private constructor(options: z.infer<typeof Options>) {
    const { writesPerS, readsPerS } = options;
    const now = performance.now();
    this.writeBucket = TokenBucket.create(writesPerS, writesPerS, now, writesPerS);
    this.readBucket = TokenBucket.create(readsPerS, readsPerS, now, readsPerS);
    this.server = StandInServer.create(options, CommonFaults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof Options> = {}): ObjectStore {
    return new ObjectStore(Options.parse(options));
  }

  start(): Promise<string> {
    return this.server.start();
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  setFaults(change: Partial<CommonFaults>): void {
    this.server.setFaults(change);
  }

  private handle({ method, path, headers, body }: ReceivedCall): Reply {
    const bucket = method === 'GET' ? this.readBucket : this.writeBucket;
    if (!bucket.tryTake(performance.now())) return { status: 429 };
    if (!path.startsWith('/objects/')) return { status: 404 };
    const key = path.slice('/objects/'.length);
    const found = this.objects.get(key);
    if (method === 'GET') {
      if (found === undefined) return { status: 404 };
      return { status: 200, headers: { etag: found.version }, body: found.body };
    }
    const match = headers['if-match'];
    if (match !== undefined && match !== found?.version) return { status: 412 };
    if (headers['if-none-match'] === '*' && found !== undefined) return { status: 412 };
    if (method === 'DELETE') return { status: this.objects.delete(key) ? 204 : 404 };
    if (method !== 'PUT') return { status: 405 };
    const version = String(++this.lastVersion);
    this.objects.set(key, { body, version });
    return { status: 200, headers: { etag: version } };
  }
}
