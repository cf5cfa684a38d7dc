import { fork } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import process from 'node:process';
import { setInterval, clearInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Events, sendAttempt } from '../lib2/callers.mjs';
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
const CALM_MS = 6_000;
const TROUBLE_MS = 10_000;
const RECOVERY_MS = 12_000;
const STREAMS_PER_S = 4;
const LOOKUPS_PER_S = 12;
const LOOKUP_LIMIT_MS = 2_500;
/** Requesters leave a stream after the longest of 2 s, four times its objective and eight times its pause. */
const STREAM_GAP_MS = 4_000;
const STABLE_MS = 3_000;

const folder = fileURLToPath(new URL('.', import.meta.url));
const record = openRecord(folder);
const store = new Store();
const gateways = [];
const engines = [];
const desks = [];
/** Answered and unanswered lookups, and the answers to the platform's questions whether a machine is ready. */
const lookups = [];
const questions = [];

async function startEngine(id, zone) {
  const child = fork(fileURLToPath(new URL('engine.mjs', import.meta.url)), [id, zone], {
    env: { PATH: process.env.PATH },
  });
  child.on('message', (message) => {
    if (message.type === 'put') store.put(message.table, message.key, message.value);
    if (message.type === 'run') record.write(`run ${message.attempt} at ${id} ${message.url}`);
    if (message.type === 'sent')
      record.write(`${id} has written ${message.sentBytes} bytes of blank lines`);
  });
  engines.push({ id, child });
  await waitUntil(() => store.get('servers', id) !== undefined);
}

async function startDesk(id, zone) {
  const run = async ({ echo, headers, url, response }) => {
    record.write(`run ${headers['attempt-id']} at ${id} ${url}`);
    await sleep(20);
    response
      .writeHead(200, { ...echo, 'response-seal': `${id}.${headers['attempt-id']}` })
      .end(`status of ${url}`);
  };
  const desk = new Server({ store, id, service: 'desk', zone, slots: 24, run });
  await desk.start();
  desks.push(desk);
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
  const route = { host: 'export.example', priority: 1 };
  store.put('op', 'config', {
    version: 7,
    routes: [
      {
        ...route,
        name: 'notes',
        pathPrefix: '/notes/',
        kind: 'streaming',
        timeoutMs: 12_000,
        goalLatencyMs: 1_000,
        service: 'llm',
        attempts: 1,
        sticky: true,
        resumable: false,
        gapAimMs: 400,
      },
      {
        ...route,
        name: 'status',
        pathPrefix: '/status/',
        kind: 'safe',
        timeoutMs: LOOKUP_LIMIT_MS,
        goalLatencyMs: 193,
        service: 'desk',
        attempts: 2,
      },
    ],
    services: [
      { name: 'llm', healthPath: '/health', connLimit: 360, protocol: 'h1', tls: false, engine },
      { name: 'desk', healthPath: '/health', connLimit: 100, protocol: 'h1', tls: false },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}

/** A requester of a stream, which leaves after a gap without an event. */
async function readStream(gateway) {
  const attempt = randomBytes(8).toString('hex');
  const events = new Events();
  const headers = {
    Host: 'export.example',
    'Attempt-Id': attempt,
    Model: 'base',
    'Token-Count': '300,60',
    'Prompt-Prefix': `5c1e07a2:200,${attempt.slice(0, 8)}:100`,
    'Deadline-Ms': '12000',
  };
  let leave = () => undefined;
  const left = new Promise((resolve) => {
    leave = () => resolve({ status: 0, end: 'left after a gap without an event' });
  });
  let eventAt = now();
  const watch = setInterval(() => {
    if (now() - eventAt > STREAM_GAP_MS) leave();
  }, 100);
  let call;
  const answer = await Promise.race([
    left,
    sendAttempt({
      gateway,
      method: 'POST',
      path: `/notes/${attempt.slice(0, 4)}`,
      headers,
      body: `prompt of ${attempt}`,
      limitMs: 12_000,
      onCall: (sent) => {
        call = sent;
      },
      onBytes: (text) => {
        const before = events.list.length;
        events.push(text.replace(/^\n+/, ''));
        if (events.list.length > before) eventAt = now();
      },
    }),
  ]);
  clearInterval(watch);
  call?.destroy();
  record.write(
    `stream ${attempt} at ${gateway.id}: ${answer.status} ${answer.end}, ${events.list.length} events`,
  );
}

/** A requester of a lookup. */
async function look(gateway) {
  const attempt = randomBytes(8).toString('hex');
  const headers = {
    Host: 'export.example',
    'Attempt-Id': attempt,
    'Deadline-Ms': String(LOOKUP_LIMIT_MS),
  };
  const sentAt = now();
  const answer = await sendAttempt({
    gateway,
    method: 'GET',
    path: '/status/1',
    headers,
    limitMs: LOOKUP_LIMIT_MS,
  });
  lookups.push({
    gateway: gateway.id,
    sentAt,
    isAnswered: answer.status > 0 && answer.end === 'complete',
  });
  record.write(
    `lookup ${attempt} at ${gateway.id}: ${answer.status} ${answer.end} after ${Math.round(now() - sentAt)} ms`,
  );
}

/** The platform asks each machine once a second; no response within a second is a miss. */
async function askReady(gateway) {
  const askedAt = now();
  const isReady = await Promise.race([gateway.isReady(), sleep(1_000).then(() => false)]);
  questions.push({ gateway: gateway.id, askedAt, isReady });
  if (!isReady)
    record.write(`${gateway.id} does not answer the platform's question whether it is ready`);
}

async function play() {
  await store.start();
  putConfig();
  await startEngine('i-llm-1', 'z1');
  await startEngine('i-llm-2', 'z2');
  await startDesk('i-desk-1', 'z1');
  await startDesk('i-desk-2', 'z2');
  for (const zone of ['z1', 'z2', 'z3']) {
    const gateway = new Gateway(await newGatewaySettings(store, `edge-${zone}`, zone));
    gateway.start();
    gateways.push(gateway);
  }
  await waitUntil(async () =>
    (await Promise.all(gateways.map((gateway) => gateway.isReady()))).every(Boolean),
  );
  await sleep(3_000);
  record.write('traffic starts');
  const pending = new Set();
  const track = (promise) => {
    pending.add(promise);
    promise.finally(() => pending.delete(promise));
  };
  let number = 0;
  const timers = [
    setInterval(
      () => track(readStream(gateways[number++ % gateways.length])),
      1_000 / STREAMS_PER_S,
    ),
    setInterval(() => track(look(gateways[number++ % gateways.length])), 1_000 / LOOKUPS_PER_S),
    setInterval(() => gateways.forEach((gateway) => track(askReady(gateway))), 1_000),
  ];
  await sleep(CALM_MS);
  const troubleAt = now();
  if (HAS_TROUBLE) {
    record.write(
      'engine i-llm-2 sends blank lines without end after the second event of its streams',
    );
    engines[1].child.send('trouble');
  }
  await sleep(TROUBLE_MS);
  if (HAS_TROUBLE) {
    record.write('engine i-llm-2 ends, and with it its channels');
    engines[1].child.kill('SIGKILL');
  }
  await sleep(RECOVERY_MS);
  timers.forEach((timer) => clearInterval(timer));
  await Promise.all(pending);
  let isBroken = false;
  for (const gateway of gateways) {
    const own = lookups
      .filter((lookup) => lookup.gateway === gateway.id)
      .sort((a, b) => a.sentAt - b.sentAt);
    const calm = own.filter(({ sentAt }) => sentAt < troubleAt);
    const runs = findSilences(own);
    const missed = questions.filter(
      ({ gateway: id, isReady }) => id === gateway.id && !isReady,
    ).length;
    const longest = runs.reduce((most, run) => (run.ms > most.ms ? run : most), {
      ms: 0,
      count: 0,
    });
    const ended = gateway.isRunning
      ? ''
      : `, its process ended by itself: ${JSON.stringify(gateway.exit)}`;
    record.write(
      `${gateway.id}: ${calm.filter(({ isAnswered }) => isAnswered).length} of ${calm.length} lookups answered before, ` +
        `${own.length - calm.length} sent later; longest time without an answer to new channels ` +
        `${Math.round(longest.ms)} ms (${longest.count} lookups); ${missed} questions for readiness missed${ended}`,
    );
    if (calm.some(({ isAnswered }) => !isAnswered))
      throw new Error('lookups failed before the trouble');
    if (!gateway.isRunning || (longest.ms >= STABLE_MS && longest.count >= 7)) isBroken = true;
  }
  return isBroken ? 1 : 0;
}

/** Returns the times in which a machine answered no lookup on a new channel. */
function findSilences(own) {
  const runs = [];
  let first;
  let count = 0;
  for (const lookup of own) {
    if (lookup.isAnswered) {
      first = undefined;
      count = 0;
      continue;
    }
    first ??= lookup.sentAt;
    count += 1;
    runs.push({ ms: lookup.sentAt - first, count });
  }
  return runs;
}

let result = 2;
try {
  result = await play();
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
} finally {
  await Gateway.stopAll();
  for (const { child } of engines) child.kill('SIGKILL');
  for (const desk of desks) desk.crash();
  store.stop();
  record.write(`result ${result}`);
  await record.end();
}
process.exit(result);
