import { z } from 'zod';
import { TokenBucket } from '../src/base/tokenBucket.ts';
import {
  type ReceivedCall,
  CommonFaults,
  ListenOptions,
  parseJson,
  type Reply,
  type StandIn,
  StandInServer,
} from './server.ts';

const Options = ListenOptions.extend({
  writesPerS: z.number().min(0).default(500),
  readsPerS: z.number().min(0).default(2_000),
});

const Condition = z.discriminatedUnion('type', [
  z.object({ type: z.literal('any') }),
  z.object({ type: z.literal('absent') }),
  z.object({ type: z.literal('version'), version: z.string() }),
]);
const Write = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('put'),
    key: z.string(),
    value: z.unknown(),
    condition: Condition,
  }),
  z.object({ type: z.literal('delete'), key: z.string(), condition: Condition }),
]);
type Write = z.infer<typeof Write>;
const Transaction = z.object({ writes: z.array(Write).min(1) });

interface Row {
  value: unknown;
  version: string;
}

/** In-memory table service: versioned rows, conditional writes, prefix scans and transactions. */
export class TableService implements StandIn {
  readonly rows = new Map<string, Row>();
  private sortedKeys: string[] | undefined;
  private lastVersion = 0;
  private readonly server: StandInServer;
  private readonly writeBucket: TokenBucket;
  private readonly readBucket: TokenBucket;

  private constructor(options: z.infer<typeof Options>) {
    const { writesPerS, readsPerS } = options;
    const now = performance.now();
    // The burst limit is the number of calls allowed in one second.
    this.writeBucket = TokenBucket.create(writesPerS, writesPerS, now, writesPerS);
    this.readBucket = TokenBucket.create(readsPerS, readsPerS, now, readsPerS);
    this.server = StandInServer.create(options, CommonFaults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof Options> = {}): TableService {
    return new TableService(Options.parse(options));
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

  private handle(call: ReceivedCall): Reply {
    const bucket = call.method === 'GET' ? this.readBucket : this.writeBucket;
    if (!bucket.tryTake(performance.now())) return { status: 429 };
    if (call.path === '/transactions' && call.method === 'POST')
      return this.handleTransaction(call);
    if (call.path === '/rows' && call.method === 'GET') return this.handleScan(call);
    if (!call.path.startsWith('/rows/')) return { status: 404 };
    const key = call.path.slice('/rows/'.length);
    if (call.method === 'GET') return this.handleGet(key);
    return this.handleWrite(call, key);
  }

  private handleGet(key: string): Reply {
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404 };
    // Serialized here, since a reply sends a string body as plain text.
    return {
      status: 200,
      headers: { etag: row.version, 'content-type': 'application/json' },
      body: JSON.stringify(row.value),
    };
  }

  private handleScan({ query }: ReceivedCall): Reply {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const limit = Number(query.get('limit') ?? '100');
    this.sortedKeys ??= [...this.rows.keys()].sort();
    const found = this.sortedKeys
      .filter((key) => key.startsWith(prefix) && key > after)
      .slice(0, limit);
    return { status: 200, body: { rows: found.map((key) => ({ key, ...this.rows.get(key) })) } };
  }

  private handleWrite(call: ReceivedCall, key: string): Reply {
    const match = call.headers['if-match'];
    const condition =
      call.headers['if-none-match'] === '*'
        ? { type: 'absent' as const }
        : match === undefined
          ? { type: 'any' as const }
          : { type: 'version' as const, version: match };
    if (call.method === 'DELETE') {
      if (!this.rows.has(key) && condition.type === 'any') return { status: 404 };
      return this.write([{ type: 'delete', key, condition }]) ? { status: 204 } : { status: 412 };
    }
    const value = parseJson(call);
    if (call.method !== 'PUT' || value === undefined) return { status: 400 };
    if (!this.write([{ type: 'put', key, value, condition }])) return { status: 412 };
    return { status: 200, headers: { etag: String(this.lastVersion) } };
  }

  private handleTransaction(call: ReceivedCall): Reply {
    const parsed = Transaction.safeParse(parseJson(call));
    if (!parsed.success) return { status: 400 };
    const { writes } = parsed.data;
    if (!this.write(writes)) return { status: 412 };
    const puts = writes.filter(({ type }) => type === 'put');
    const rows = puts.map(({ key }) => ({ key, version: this.rows.get(key)?.version }));
    return { status: 200, body: { rows } };
  }

  /** Applies all writes atomically; returns false and applies none when a condition fails. */
  private write(writes: Write[]): boolean {
    const isAllowed = writes.every(({ key, condition }) => {
      const version = this.rows.get(key)?.version;
      if (condition.type === 'any') return true;
      return condition.type === 'absent' ? version === undefined : version === condition.version;
    });
    if (!isAllowed) return false;
    for (const write of writes) {
      if (write.type === 'delete') this.rows.delete(write.key);
      else this.rows.set(write.key, { value: write.value, version: String(++this.lastVersion) });
    }
    this.sortedKeys = undefined;
    return true;
  }
}
