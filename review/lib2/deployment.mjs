// Stand-ins and processes of a small deployment, as the users' pages describe them. Every address is a loopback address.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';

const ROOT = resolve(fileURLToPath(new URL('../..', import.meta.url)));
const started = performance.now();

/** Monotonic ms since the start of the script. */
export const now = () => Math.round((performance.now() - started) * 10) / 10;

/** Writes the record of a run. */
export function openRecord(folder) {
  const out = createWriteStream(join(folder, 'record.txt'));
  return {
    write: (text) => out.write(`${now().toFixed(1).padStart(9)} ms  ${text}\n`),
    end: () => new Promise((done) => out.end(done)),
  };
}

export async function findFreePort() {
  const server = createTcpServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** The platform's store: rows, conditional transactions and feeds. */
export class Store {
  rows = new Map();
  version = 0;
  era = 1;
  watches = new Set();
  /** Decides how a call is answered; returns a promise that delays it, or false to leave it unanswered. */
  gate = () => undefined;

  async start() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    for (const { timer } of this.watches) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  put(table, key, value) {
    this.version += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.store({ table, part: '', key, value: text, ver: this.version });
    this.answerWatches();
  }

  remove(table, key) {
    this.version += 1;
    this.store({ table, part: '', key, value: undefined, ver: this.version });
    this.answerWatches();
  }

  get(table, key) {
    const value = this.rows.get(JSON.stringify([table, '', key]))?.value;
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString());
  }

  copy() {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Comes back from a copy. */
  restore({ rows, version }) {
    this.rows = new Map(rows);
    this.version = version;
    this.era += 1;
    for (const { timer, answer } of this.watches) {
      clearTimeout(timer);
      answer(503, {});
    }
    this.watches.clear();
  }

  store(row) {
    this.rows.set(JSON.stringify([row.table, row.part, row.key]), row);
  }

  async handle(request, response) {
    const body = await readBody(request);
    const answer = (status, value) => {
      const headers = { 'content-type': 'application/json', 'store-era': String(this.era) };
      response.writeHead(status, headers).end(JSON.stringify({ ...value, nowMs: now() }));
    };
    const url = new URL(request.url, 'http://store');
    const gated = this.gate(request, url, body);
    if (gated === false) return;
    await gated;
    await sleep(4);
    if (url.pathname === '/-/rows-tx') this.transact(JSON.parse(body), answer);
    else if (url.pathname === '/-/rows-get') this.read(url.searchParams, answer);
    else if (url.pathname === '/-/rows-feed') this.feed(url.searchParams, answer);
    else answer(404, {});
  }

  transact({ expectedRev = [], writes = [], remove = [] }, answer) {
    const current = expectedRev.map((wanted) => {
      const row = this.rows.get(JSON.stringify([wanted.table, wanted.part, wanted.key]));
      return row?.value === undefined ? { ...wanted, ver: 0 } : row;
    });
    if (current.some(({ ver }, index) => ver !== expectedRev[index].ver)) {
      answer(412, { rows: current, ver: this.version });
      return;
    }
    this.version += 1;
    for (const row of writes) this.store({ ...row, ver: this.version });
    for (const row of remove) this.store({ ...row, value: undefined, ver: this.version });
    this.answerWatches();
    answer(200, { ver: this.version });
  }

  read(query, answer) {
    const from = query.get('from') ?? '';
    const rows = [...this.rows.values()]
      .filter(
        ({ table, key, value }) =>
          table === query.get('table') && value !== undefined && key >= from,
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(200, { rows: rows.slice(0, 500), hasMore: rows.length > 500, ver: this.version });
  }

  feed(query, answer) {
    const [table, after] = [query.get('table'), Number(query.get('after'))];
    if (after > this.version) {
      answer(410, {});
      return;
    }
    const reply = () => {
      const rows = this.changed(table, after);
      answer(200, {
        rows: rows.map((row) => (row.value === undefined ? { ...row, deleted: true } : row)),
        ver: this.version,
      });
    };
    if (this.changed(table, after).length > 0) {
      reply();
      return;
    }
    const watch = { table, after, reply, answer };
    watch.timer = setTimeout(
      () => {
        this.watches.delete(watch);
        reply();
      },
      Number(query.get('waitMs')),
    );
    this.watches.add(watch);
  }

  changed(table, after) {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver);
  }

  answerWatches() {
    for (const watch of [...this.watches]) {
      if (this.changed(watch.table, watch.after).length === 0) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      watch.reply();
    }
  }
}

/** Settings of a gateway as `deploy/host.env` is filled in for a small machine. */
export async function newGatewaySettings(store, id, zone, change = {}) {
  const ports = [];
  for (let index = 0; index < 4; index++) ports.push(await findFreePort());
  const [front, ready, peers, metrics] = ports.map((port) => `127.0.0.1:${port}`);
  return {
    FIREFLYWICK_HOST_ID: id,
    FIREFLYWICK_ZONE: zone,
    FIREFLYWICK_REGION: 'r1',
    FIREFLYWICK_SOURCE_ADDRESS: '127.0.0.1',
    FIREFLYWICK_FRONT_LISTEN: front,
    FIREFLYWICK_READY_LISTEN: ready,
    FIREFLYWICK_PEER_LISTEN: peers,
    FIREFLYWICK_PEER_ADDRESS: peers,
    FIREFLYWICK_METRICS_LISTEN: metrics,
    FIREFLYWICK_DIRECTORY_URL: `http://${store.address}`,
    FIREFLYWICK_RETRY_RATIO: '0.2',
    FIREFLYWICK_RETRY_SLACK: '54',
    FIREFLYWICK_RETRY_WINDOW: '10s',
    FIREFLYWICK_SHUTDOWN_GRACE: '8s',
    FIREFLYWICK_LAME_DUCK: '2500ms',
    FIREFLYWICK_MEMORY: '350',
    FIREFLYWICK_DESCRIPTORS: '4100',
    FIREFLYWICK_CPU_SHARE: '0.675',
    FIREFLYWICK_CPU_SPEED: '1',
    ...change,
  };
}

/** A gateway process, started with the command of the deploy file. */
export class Gateway {
  static folders = mkdtempSync(join(tmpdir(), 'review-'));
  static children = new Set();
  log = [];

  constructor(settings) {
    this.settings = settings;
    this.id = settings.FIREFLYWICK_HOST_ID;
    [this.host, this.port] = settings.FIREFLYWICK_FRONT_LISTEN.split(':');
  }

  start() {
    const file = join(Gateway.folders, `${this.id}.env`);
    const lines = Object.entries(this.settings).map(([name, value]) => `${name}=${value}\n`);
    writeFileSync(file, lines.join(''));
    const flags = ['--expose-gc', '--max-old-space-size=200', '--max-semi-space-size=4'];
    const argv = [...flags, 'target/fireflywick.cjs', 'gateway', `--settings-file=${file}`];
    const stdio = ['ignore', 'pipe', 'pipe'];
    const child = spawn(process.execPath, argv, {
      cwd: ROOT,
      stdio,
      env: { PATH: process.env.PATH },
    });
    this.child = child;
    this.isRunning = true;
    Gateway.children.add(child);
    let rest = '';
    child.stdout.on('data', (text) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      this.log.push(...lines);
    });
    child.stderr.on('data', (text) => this.log.push(`stderr ${text}`));
    this.exited = once(child, 'exit').then(([code, signal]) => {
      Gateway.children.delete(child);
      if (this.child === child) this.isRunning = false;
      this.exit = { code, signal, at: now() };
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    try {
      const response = await globalThis.fetch(
        `http://${this.settings.FIREFLYWICK_READY_LISTEN}/-/ready`,
      );
      return response.status === 200;
    } catch {
      return false;
    }
  }

  static async stopAll() {
    for (const child of Gateway.children) child.kill('SIGKILL');
    while (Gateway.children.size > 0) await sleep(20);
    rmSync(Gateway.folders, { recursive: true, force: true });
  }
}

export async function waitUntil(check, limitMs = 20_000) {
  const end = now() + limitMs;
  while (!(await check())) {
    if (now() > end) throw new Error('the deployment did not become ready in time');
    await sleep(50);
  }
}

/**
 * An engine or a server of a plain service. It registers itself in the store, answers liveness checks, reports and
 * orders, and hands each request that it runs to `run`.
 */
export class Server {
  runs = [];
  orders = [];
  sequence = 0;
  writes = 0;
  fence = 0;
  extraHeaders = {};
  models = new Map();

  constructor({
    store,
    id,
    service,
    zone,
    version = '1.0',
    slots = 64,
    isEngine = false,
    run,
    record,
    heartbeatMs = 1_200,
  }) {
    Object.assign(this, {
      store,
      id,
      service,
      zone,
      version,
      slots,
      isEngine,
      run,
      record,
      heartbeatMs,
    });
  }

  async start(models = []) {
    this.born = Date.now();
    this.sequence = 0;
    this.fence = 0;
    this.models = new Map(models.map((name) => [name, []]));
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.server.listen(this.port ?? 0, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.isUp = true;
    this.state = 'ready';
    this.register();
    this.timer = setInterval(() => this.register(), this.heartbeatMs);
  }

  register() {
    this.writes += 1;
    const models = [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters }));
    this.store.put('servers', this.id, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      seq: this.writes,
      born: this.born,
      ...(this.isEngine ? { stage: 'both', models } : {}),
    });
  }

  /** Ends at once: its channels are closed, and new ones are refused. */
  crash() {
    this.isUp = false;
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const { headers, url, method } = request;
    const body = await readBody(request);
    const echo = { 'attempt-id': headers['attempt-id'] ?? '', ...this.extraHeaders };
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echo, 'not-executed': '1', 'instance-id': this.id }).end();
      return;
    }
    if (url === '/health') {
      response.writeHead(200, { 'instance-id': this.id, ...this.extraHeaders }).end();
    } else if (url === '/-/report') {
      const models = [...this.models].map(([name, adapters]) => ({ name, version: 1, adapters }));
      const report = {
        stage: 'both',
        models,
        busy: this.isBusy === true,
        seq: this.sequence,
        born: this.born,
      };
      const load = {
        queueDepth: 0,
        inFlight: 0,
        kvUsed: 0,
        kvTotal: 150_000,
        handles: 0,
        coming: [],
      };
      response.writeHead(200, { 'content-type': 'application/json', ...this.extraHeaders });
      response.end(JSON.stringify({ ...report, ...load }));
    } else if (url === '/-/order') {
      const status = this.takeOrder(JSON.parse(body));
      response.writeHead(status, this.extraHeaders).end();
    } else {
      await this.run({ server: this, method, url, headers, body, echo, request, response });
    }
  }

  takeOrder(order) {
    this.orders.push({ at: now(), ...order });
    if (order.fence < this.fence) return 412;
    this.fence = order.fence;
    const { operation, model, adapter, expectedRev, version = 1 } = order;
    const adapters = this.models.get(model);
    if (adapter === undefined && operation === 'model_load' && adapters !== undefined) return 200;
    const held = adapters?.find((text) => text.startsWith(`${adapter}@`));
    if (adapter !== undefined && operation === 'model_load' && held === `${adapter}@${version}`)
      return 200;
    if (this.isBusy) return 409;
    if (expectedRev !== undefined && expectedRev !== this.sequence) return 409;
    this.sequence += 1;
    if (adapter !== undefined) {
      if (adapters === undefined) return 400;
      const others = adapters.filter((text) => text !== held);
      this.models.set(
        model,
        operation === 'model_load' ? [...others, `${adapter}@${version}`] : others,
      );
      return 200;
    }
    if (operation === 'model_unload') {
      this.models.delete(model);
      return 202;
    }
    this.isBusy = true;
    const { born } = this;
    setTimeout(() => {
      this.isBusy = false;
      if (this.born !== born || !this.isUp) return;
      this.models.set(model, []);
      this.register();
    }, this.loadMs ?? 300);
    return 202;
  }
}
