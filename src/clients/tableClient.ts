import { z } from 'zod';
import type { Condition, RowWrite, StoredRow, TableAnswer, TableCall } from '../core/store.ts';
import { TABLE_TIMEOUT_MS } from './constants.ts';
import { HttpClient, type HttpAnswer, type HttpCall } from './httpClient.ts';

const ScannedRows = z.object({
  rows: z.array(z.object({ key: z.string(), value: z.unknown(), version: z.string() })),
});
const WrittenRows = z.object({
  rows: z.array(z.object({ key: z.string(), version: z.string() })),
});

type Request = Pick<HttpCall, 'method' | 'path' | 'headers' | 'body'>;
type Answered = Extract<HttpAnswer, { type: 'answered' }>;

/** Wire format of one type of call. `getRows` throws if the response is invalid. */
interface Format<C extends TableCall> {
  getRequest: (call: C) => Request;
  getRows: (call: C, answered: Answered) => StoredRow[];
}

const JSON_BODY = { 'content-type': 'application/json' };

function getRowPath(key: string): string {
  return `/rows/${encodeURIComponent(key)}`;
}

function getConditionHeaders(condition: Condition): Record<string, string> {
  if (condition.type === 'absent') return { 'if-none-match': '*' };
  return condition.type === 'version' ? { 'if-match': condition.version } : {};
}

function getVersion(answered: Answered): string {
  return z.string().parse(answered.headers.etag);
}

function getWriteRequest(writes: RowWrite[]): Request {
  const only = writes.length === 1 ? writes[0] : undefined;
  if (only === undefined) {
    return {
      method: 'POST',
      path: '/transactions',
      headers: JSON_BODY,
      body: JSON.stringify({ writes }),
    };
  }
  const headers = getConditionHeaders(only.condition);
  if (only.type === 'delete') return { method: 'DELETE', path: getRowPath(only.key), headers };
  return {
    method: 'PUT',
    path: getRowPath(only.key),
    headers: { ...headers, ...JSON_BODY },
    body: JSON.stringify(only.value),
  };
}

function getWrittenRows(writes: RowWrite[], answered: Answered): StoredRow[] {
  const puts = writes.filter((write) => write.type === 'put');
  const versions = new Map<string, string>();
  if (writes.length === 1) {
    for (const { key } of puts) versions.set(key, getVersion(answered));
  } else {
    const { rows } = WrittenRows.parse(JSON.parse(answered.body.toString()));
    for (const { key, version } of rows) versions.set(key, version);
  }
  return puts.map(({ key, value }) => {
    const version = versions.get(key);
    if (version === undefined) throw new Error(`the response has no version for row "${key}"`);
    return { key, value, version };
  });
}

const FORMATS: { [T in TableCall['type']]: Format<Extract<TableCall, { type: T }>> } = {
  get: {
    getRequest: ({ key }) => ({ method: 'GET', path: getRowPath(key) }),
    getRows: ({ key }, answered) => [
      {
        key,
        value: JSON.parse(answered.body.toString()) as unknown,
        version: getVersion(answered),
      },
    ],
  },
  scan: {
    getRequest: ({ prefix, after, limit }) => {
      const query = new URLSearchParams({ prefix, after, limit: String(limit) });
      return { method: 'GET', path: `/rows?${query.toString()}` };
    },
    getRows: (_call, answered) => ScannedRows.parse(JSON.parse(answered.body.toString())).rows,
  },
  write: {
    getRequest: ({ writes }) => getWriteRequest(writes),
    getRows: ({ writes }, answered) => getWrittenRows(writes, answered),
  },
};

/** Whether the status means that nothing was read or written. */
function isRefusal(status: number): boolean {
  return status === 503 || (status >= 400 && status < 500);
}

/** Client of the table service. Never retries a call. */
export class TableClient {
  private constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly http: HttpClient,
  ) {}

  static create(options: { address: string; timeoutMs?: number; http?: HttpClient }): TableClient {
    const { address, timeoutMs = TABLE_TIMEOUT_MS, http = HttpClient.create() } = options;
    return new TableClient(address, timeoutMs, http);
  }

  async call(call: TableCall): Promise<TableAnswer> {
    const format = FORMATS[call.type] as Format<TableCall>;
    const answer = await this.http.call({
      address: this.address,
      timeoutMs: this.timeoutMs,
      ...format.getRequest(call),
    });
    const lostType = call.type === 'write' ? 'unknown' : 'unavailable';
    if (answer.type === 'notSent') return { type: 'unavailable', reason: answer.reason };
    if (answer.type === 'lost') return { type: lostType, reason: answer.reason };
    if (answer.status === 404) return { type: 'missing' };
    if (answer.status === 412) return { type: 'conflict' };
    const reason = `the table service answered ${answer.status}`;
    if (isRefusal(answer.status)) return { type: 'unavailable', reason };
    if (answer.status >= 300) return { type: lostType, reason };
    try {
      return { type: 'ok', rows: format.getRows(call, answer) };
    } catch {
      return { type: lostType, reason: 'the response of the table service is invalid' };
    }
  }

  async close(): Promise<void> {
    await this.http.close();
  }
}
