import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Store } from './store.mjs';

export const HOST = '127.0.0.1';

/** Names of routes, as an operator of a small deployment chooses them. */
export const ROUTE_HOST = 'desk.example';

/** Lines of the record of a run; `write` puts them into a file. */
export class Record {
  constructor() {
    this.lines = [];
    this.startedAt = Date.now();
  }

  add(text) {
    const ms = String(Date.now() - this.startedAt).padStart(6);
    this.lines.push(`${ms} ms  ${text}`);
  }

  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

async function getFreePort() {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Returns the command of the gateway in the deploy file. */
function getCommand(settingsFile) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const words = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return words.map((word) => word.replace('/etc/fireflywick/local.yaml', settingsFile));
}

/** Fills in the template of the settings. */
function fillTemplate(fields, metrics) {
  return readFileSync('deploy/host.env', 'utf8')
    .replace(/\{\{([^}]+)\}\}/g, (_, name) => String(fields[name]))
    .replace(/^FIREFLYWICK_METRICS_LISTEN=.*$/m, `FIREFLYWICK_METRICS_LISTEN=${metrics}`);
}

/** A store and gateways in a temporary folder, all on a loopback address. */
export class Deployment {
  constructor(record) {
    this.record = record;
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.gateways = [];
  }

  async startStore() {
    this.storeAddress = await this.store.start(HOST);
  }

  /** Writes the desired state. */
  configure({ routes, services, version = 1 }) {
    this.store.put('op', 'config', {
      version,
      routes,
      services,
      limits: {
        headerBytes: 16_384,
        bodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
  }

  /** Writes the entry of an engine of a service, as it does when it starts. */
  register(id, service, address, zone, change = {}) {
    this.store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 64,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born: Date.now(),
      ...change,
    });
  }

  /** Starts a gateway with the command of the deploy file, and waits until it is ready. */
  async startGateway(node, zone) {
    const [front, ready, control, metrics] = await Promise.all([1, 2, 3, 4].map(getFreePort));
    const fields = {
      node,
      zone,
      region: 'north',
      ip: HOST,
      'listen.front': `${HOST}:${front}`,
      'listen.ready': `${HOST}:${ready}`,
      'listen.control': `${HOST}:${control}`,
      'platform.address': this.storeAddress,
      'bounds.retryRatio': 0.2,
      'bounds.retrySlack': 54,
      'bounds.budgetWindowS': 10,
      'bounds.graceS': 8,
    };
    const file = join(this.folder, `${node}.env`);
    writeFileSync(file, fillTemplate(fields, `${HOST}:${metrics}`));
    const [command, ...words] = getCommand(file);
    const log = openSync(join(this.folder, `${node}.log`), 'w');
    const program = command === 'node' ? process.execPath : command;
    const child = spawn(program, words, {
      env: { PATH: process.env.PATH },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const gateway = { node, child, port: front, ready, exit: undefined };
    gateway.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        gateway.exit = { code, signal };
        this.record.add(`gateway ${node} ended: code ${code}, signal ${signal}`);
        resolve();
      });
    });
    this.gateways.push(gateway);
    for (let tries = 0; tries < 300; tries += 1) {
      if (await isReady(ready)) {
        this.record.add(`gateway ${node} is ready`);
        return gateway;
      }
      await sleep(50);
    }
    throw new Error(`gateway ${node} is not ready`);
  }

  /** Starts the seven machines of a small deployment with four zones, and returns the first one. */
  async startGateways() {
    const machines = ['casa-a', 'casa-a', 'casa-b', 'casa-b', 'rabat-a', 'rabat-a', 'tanger-a'];
    const started = machines.map((zone, index) =>
      this.startGateway(`edge-${zone}-${index + 1}`, zone),
    );
    const [first] = await Promise.all(started);
    return first;
  }

  getLog(gateway) {
    return readFileSync(join(this.folder, `${gateway.node}.log`), 'utf8');
  }

  /** Ends all processes and removes the temporary folder. */
  async stop() {
    if (this.isStopped) return;
    this.isStopped = true;
    for (const { child, exit } of this.gateways) {
      if (exit !== undefined) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(this.gateways.map(({ exited }) => exited));
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

async function isReady(port) {
  try {
    return (await getStatus(port)) === 200;
  } catch {
    return false;
  }
}

function getStatus(port) {
  return new Promise((resolve, reject) => {
    get({ host: HOST, port, path: '/-/ready', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    }).on('error', reject);
  });
}
