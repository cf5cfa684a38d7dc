import { randomBytes } from 'node:crypto';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { readStream } from '../lib2/callers.mjs';
import {
  Gateway,
  newGatewaySettings,
  now,
  openRecord,
  Server,
  Store,
  waitUntil,
} from '../lib2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const EVENTS = 40;
const EVENT_GAP_MS = 100;
const STREAMS_PER_S = 24;
const TRAFFIC_MS = 9_000;
const CRASH_AT_MS = 4_000;
const KILL_AT_MS = 6_400;
const ENGINE_DOWN_MS = 2_600;
const MACHINE_DOWN_MS = 500;

const folder = fileURLToPath(new URL('.', import.meta.url));
const record = openRecord(folder);
const store = new Store();
const servers = [];
const gateways = [];

/** Runs a stream: its events are numbered on from `Last-Event-Id`, and each names the request. */
async function runStream({ server, url, headers, echo, response }) {
  const last = Number(headers['last-event-id'] ?? 0);
  const attempt = headers['attempt-id'];
  const run = { at: now(), attempt, resumes: headers.resumes, after: last };
  server.runs.push(run);
  record.write(
    `run ${attempt} at ${server.id} (software ${server.version}) ${url} after event ${last}`,
  );
  response.writeHead(200, {
    ...echo,
    'response-seal': `${server.id}.${attempt}`,
    'weight-versions': '1',
    'content-type': 'text/event-stream',
  });
  for (let id = last + 1; id <= EVENTS; id++) {
    await sleep(EVENT_GAP_MS);
    if (response.destroyed) return;
    response.write(`id: ${id}\ndata: ${server.version} ${server.id}\n\n`);
  }
  response.end();
}

async function addEngine(id, version, port) {
  const server = new Server({
    store,
    id,
    service: 'llm',
    zone: 'z1',
    version,
    isEngine: true,
    run: runStream,
  });
  server.port = port;
  await server.start(port === undefined ? ['base'] : []);
  servers.push(server);
  return server;
}

function putConfig() {
  const engine = {
    slots: 64,
    kvCapacity: 150_000,
    models: [{ name: 'base', weightsMb: 60_000, loadS: 0.3, adapters: 10, adapterMb: 40 }],
    weightsMb: 66_000,
    adapterSlots: 6,
    loadsPerS: 4,
  };
  store.put('op', 'config', {
    version: 7,
    routes: [
      {
        name: 'summary',
        host: 'congress.example',
        pathPrefix: '/summary/',
        kind: 'streaming',
        timeoutMs: 15_000,
        goalLatencyMs: 1_000,
        priority: 1,
        service: 'llm',
        attempts: 2,
        sticky: true,
        resumable: true,
        gapAimMs: 400,
      },
    ],
    services: [
      { name: 'llm', healthPath: '/health', connLimit: 370, protocol: 'h1', tls: false, engine },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}

async function play() {
  await store.start();
  putConfig();
  await addEngine('i-old-1', 'v1');
  await addEngine('i-old-2', 'v1');
  const fresh = await addEngine('i-new-1', 'v2');
  for (const [index, zone] of ['z1', 'z2', 'z3'].entries()) {
    const gateway = new Gateway(await newGatewaySettings(store, `edge-${zone}-${index}`, zone));
    gateway.start();
    gateways.push(gateway);
  }
  await waitUntil(async () =>
    (await Promise.all(gateways.map((gateway) => gateway.isReady()))).every(Boolean),
  );
  await sleep(26_000);
  record.write('traffic starts');
  const start = now();
  const streams = [];
  const traffic = (async () => {
    let number = 0;
    while (now() - start < TRAFFIC_MS) {
      const session = randomBytes(4).toString('hex');
      const names = [];
      const newAttemptId = () => {
        names.push(randomBytes(8).toString('hex'));
        return names.at(-1);
      };
      streams.push(
        readStream({
          gateways,
          first: number,
          path: `/summary/${session}`,
          headers: {
            Host: 'congress.example',
            Model: 'base',
            'Token-Count': '300,120',
            'Prompt-Prefix': `5c1e07a2:200,${session}:100`,
          },
          body: `prompt ${session}`,
          newAttemptId,
          timeLimitMs: 15_000,
          tries: 4,
          record,
        }),
      );
      number += 1;
      await sleep(1_000 / STREAMS_PER_S);
    }
  })();
  if (HAS_TROUBLE) {
    await sleep(CRASH_AT_MS);
    record.write(`engine ${fresh.id} crashes`);
    fresh.crash();
    const back = (async () => {
      await sleep(ENGINE_DOWN_MS);
      record.write('its next boot starts at its address, with the same software and a new id');
      await addEngine('i-new-2', 'v2', fresh.port);
      await sleep(3 * 1_200 - ENGINE_DOWN_MS);
      store.remove('servers', fresh.id);
    })();
    await sleep(KILL_AT_MS - CRASH_AT_MS);
    record.write('all machines are killed');
    for (const gateway of gateways) gateway.signal('SIGKILL');
    await Promise.all(gateways.map(({ exited }) => exited));
    await sleep(MACHINE_DOWN_MS);
    record.write('all machines start again');
    for (const gateway of gateways) gateway.start();
    await back;
  }
  await traffic;
  const results = await Promise.all(streams);
  const mixed = results.filter(
    ({ events }) => new Set(events.map(({ data }) => data.split(' ')[0])).size > 1,
  );
  for (const { origin, events } of mixed) {
    const parts = events.map(({ id, data }) => `${id}:${data.split(' ')[0]}`).join(' ');
    record.write(`stream ${origin} holds events of two software versions: ${parts}`);
  }
  const resumed = results.filter(
    ({ attempts }) => attempts.filter(({ events }) => events.length > 0).length > 1,
  );
  const complete = results.filter(({ events }) => events.at(-1)?.id === EVENTS);
  record.write(
    `${results.length} streams, ${complete.length} complete, ${resumed.length} resumed by their requesters, ` +
      `${mixed.length} with events of two software versions (ORDER allows 2)`,
  );
  if (complete.length < results.length / 4) return 2;
  return mixed.length > 2 ? 1 : 0;
}

let result = 2;
try {
  result = await play();
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
} finally {
  await Gateway.stopAll();
  for (const server of servers) if (server.isUp) server.crash();
  store.stop();
  record.write(`result ${result}`);
  await record.end();
}
process.exit(result);
