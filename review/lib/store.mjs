import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout, clearTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';

/** Stand-in of the platform's metadata store: rows, conditional transactions and feeds. */
export class Store {
  constructor() {
    this.rows = new Map();
    this.ver = 0;
    this.feeds = new Set();
    this.server = createServer((request, response) => void this.handle(request, response));
  }

  /** Listens on a free port of `host` and returns `host:port`. */
  async start(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    for (const feed of this.feeds) clearTimeout(feed.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row with an empty part, as the operator or an engine would. */
  put(table, key, value) {
    this.ver += 1;
    this.set(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'));
    this.wakeFeeds();
  }

  set(table, part, key, value) {
    this.rows.set(JSON.stringify([table, part, key]), { table, part, key, value, ver: this.ver });
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const answer = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
      response.end(
        JSON.stringify({ ver: this.ver, nowMs: Math.round(performance.now()), ...body }),
      );
    };
    if (url.pathname === '/-/rows-tx') this.transact(JSON.parse(Buffer.concat(chunks)), answer);
    else if (url.pathname === '/-/rows-get') this.read(url.searchParams, answer);
    else if (url.pathname === '/-/rows-feed') this.feed(url.searchParams, answer);
    else answer(404, {});
  }

  transact({ expectedRev = [], writes = [], remove = [] }, answer) {
    const current = expectedRev.map(({ table, part, key }) => {
      const row = this.rows.get(JSON.stringify([table, part, key]));
      return row?.value === undefined ? { table, part, key, ver: 0 } : row;
    });
    if (current.some(({ ver }, index) => ver !== expectedRev[index].ver)) {
      answer(412, { rows: current });
      return;
    }
    this.ver += 1;
    for (const { table, part, key, value } of writes) this.set(table, part, key, value);
    for (const { table, part, key } of remove) this.set(table, part, key, undefined);
    this.wakeFeeds();
    answer(200, {});
  }

  read(query, answer) {
    const from = query.get('from') ?? '';
    const rows = [...this.rows.values()]
      .filter(
        ({ table, part }) => table === query.get('table') && part === (query.get('part') ?? ''),
      )
      .filter(({ key, value }) => value !== undefined && key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(200, { rows: rows.slice(0, 500), hasMore: rows.length > 500 });
  }

  feed(query, answer) {
    const feed = { table: query.get('table'), after: Number(query.get('after')), answer };
    if (this.answerFeed(feed)) return;
    feed.timer = setTimeout(
      () => {
        this.feeds.delete(feed);
        answer(200, { rows: [] });
      },
      Number(query.get('waitMs')),
    );
    this.feeds.add(feed);
  }

  answerFeed({ table, after, answer }) {
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver)
      .map((row) => (row.value === undefined ? { ...row, deleted: true } : row));
    if (rows.length === 0) return false;
    answer(200, { rows });
    return true;
  }

  wakeFeeds() {
    for (const feed of [...this.feeds]) {
      if (!this.answerFeed(feed)) continue;
      clearTimeout(feed.timer);
      this.feeds.delete(feed);
    }
  }
}
