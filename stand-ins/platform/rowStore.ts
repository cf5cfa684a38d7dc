import { z } from 'zod';
import {
  type ReceivedCall,
  CommonFaults,
  ListenOptions,
  parseJson,
  type Reply,
  type StandIn,
  StandInServer,
} from '../server.ts';

const RowId = z.object({ table: z.string(), part: z.string(), key: z.string() });
const Transaction = z.object({
  expectedRev: z.array(RowId.extend({ ver: z.int() })).default([]),
  writes: z.array(RowId.extend({ value: z.string() })).default([]),
  remove: z.array(RowId).default([]),
});

/** Fault settings of the store. */
const Faults = CommonFaults.extend({
  /** Answers each watch with 410, as when the history that it needs is gone. */
  historyLost: z.boolean().default(false),
});
type Faults = z.infer<typeof Faults>;

interface StoredRow {
  table: string;
  part: string;
  key: string;
  value: string | undefined;
  ver: number;
}

/** Watch without an answer; it is answered at the next change of the table or on timeout. */
interface PendingWatch {
  table: string;
  after: number;
  answer: (reply: Reply) => void;
  timer: NodeJS.Timeout;
}

/** Rows and version of the store at one moment. */
export interface StoreCopy {
  rows: ReadonlyMap<string, StoredRow>;
  version: number;
}

const MAX_PAGE_ROWS = 500;

/** In-memory metadata store of the platform: versioned rows, conditional transactions and watches. */
export class RowStore implements StandIn {
  private readonly rows = new Map<string, StoredRow>();
  private readonly watches = new Set<PendingWatch>();
  private readonly server: StandInServer<Faults>;
  private version = 0;
  private era = 1;
  /** Number of calls by path. */
  readonly callCounts = new Map<string, number>();

  private constructor(options: z.infer<typeof ListenOptions>) {
    this.server = StandInServer.create(options, Faults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof ListenOptions> = {}): RowStore {
    return new RowStore(ListenOptions.parse(options));
  }

  start(): Promise<string> {
    return this.server.start();
  }

  async stop(): Promise<void> {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.watches.clear();
    await this.server.stop();
  }

  setFaults(change: Partial<Faults>): void {
    this.server.setFaults(change);
  }

  /** Writes a row as an operator or engine would, with `value` as JSON. */
  put(table: string, key: string, value: unknown): void {
    this.putRaw(table, key, JSON.stringify(value));
  }

  /** Writes a row with any text, which need not be valid JSON. */
  putRaw(table: string, key: string, text: string): void {
    this.version += 1;
    this.storeRow({
      table,
      part: '',
      key,
      value: Buffer.from(text).toString('base64'),
      ver: this.version,
    });
    this.answerWatches();
  }

  remove(table: string, key: string): void {
    this.version += 1;
    this.storeRow({ table, part: '', key, value: undefined, ver: this.version });
    this.answerWatches();
  }

  /** Returns a copy of all rows, for `restore`. */
  copy(): StoreCopy {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Comes back from an older copy: what was written since is gone, and versions are given out again. */
  restore({ rows, version }: StoreCopy): void {
    this.rows.clear();
    for (const [id, row] of rows) this.rows.set(id, row);
    this.version = version;
    this.era += 1;
    for (const watch of this.watches) {
      clearTimeout(watch.timer);
      watch.answer({ status: 503 });
    }
    this.watches.clear();
  }

  /** Returns the decoded value of a row, or undefined when it does not exist. */
  get(table: string, key: string): unknown {
    const value = this.rows.get(formatRowId({ table, part: '', key }))?.value;
    if (value === undefined) return undefined;
    return JSON.parse(Buffer.from(value, 'base64').toString()) as unknown;
  }

  private async handle(call: ReceivedCall): Promise<Reply | undefined> {
    const reply = await this.handleCall(call);
    return reply && { ...reply, headers: { ...reply.headers, 'store-era': String(this.era) } };
  }

  private handleCall(call: ReceivedCall): Reply | undefined | Promise<Reply> {
    this.callCounts.set(call.path, (this.callCounts.get(call.path) ?? 0) + 1);
    if (call.path === '/-/rows-tx' && call.method === 'POST') return this.handleTransaction(call);
    if (call.path === '/-/rows-get') return this.handleRead(call.query);
    if (call.path === '/-/rows-feed') return this.handleFeed(call.query);
    return { status: 404 };
  }

  private handleTransaction(call: ReceivedCall): Reply {
    const parsed = Transaction.safeParse(parseJson(call));
    if (!parsed.success) return { status: 400, body: parsed.error.issues };
    const { expectedRev, writes, remove } = parsed.data;
    const current = expectedRev.map((expected) => {
      const row = this.rows.get(formatRowId(expected));
      return row?.value === undefined ? { ...expected, ver: 0 } : row;
    });
    if (current.some(({ ver }, index) => ver !== expectedRev[index]?.ver)) {
      return {
        status: 412,
        body: { rows: current, ver: this.version, nowMs: Math.round(performance.now()) },
      };
    }
    this.version += 1;
    for (const row of writes) this.storeRow({ ...row, ver: this.version });
    for (const row of remove) this.storeRow({ ...row, value: undefined, ver: this.version });
    this.answerWatches();
    return { status: 200, body: { ver: this.version, nowMs: Math.round(performance.now()) } };
  }

  private handleRead(query: URLSearchParams): Reply {
    const table = query.get('table') ?? '';
    const from = query.get('from') ?? '';
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.value !== undefined && row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, MAX_PAGE_ROWS);
    const body = {
      rows: page,
      hasMore: rows.length > page.length,
      ver: this.version,
      nowMs: Math.round(performance.now()),
    };
    return { status: 200, body };
  }

  private handleFeed(query: URLSearchParams): Reply | Promise<Reply> {
    const table = query.get('table') ?? '';
    const after = Number(query.get('after'));
    if (this.server.faults.historyLost || after > this.version) return { status: 410 };
    const waitMs = Number(query.get('waitMs'));
    const changed = this.getChangedRows(table, after);
    if (changed.length > 0) return this.newFeedReply(changed);
    return new Promise((answer) => {
      const timer = setTimeout(() => {
        this.watches.delete(watch);
        answer(this.newFeedReply([]));
      }, waitMs);
      const watch: PendingWatch = { table, after, answer, timer };
      this.watches.add(watch);
    });
  }

  private answerWatches(): void {
    for (const watch of [...this.watches]) {
      const changed = this.getChangedRows(watch.table, watch.after);
      if (changed.length === 0) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      watch.answer(this.newFeedReply(changed));
    }
  }

  private getChangedRows(table: string, after: number): StoredRow[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver);
  }

  private newFeedReply(changed: StoredRow[]): Reply {
    const rows = changed.map((row) => (row.value === undefined ? { ...row, deleted: true } : row));
    return { status: 200, body: { rows, ver: this.version, nowMs: Math.round(performance.now()) } };
  }

  private storeRow(row: StoredRow): void {
    this.rows.set(formatRowId(row), row);
  }
}

function formatRowId({ table, part, key }: { table: string; part: string; key: string }): string {
  return JSON.stringify([table, part, key]);
}
