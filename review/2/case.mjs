import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { ROUTE_HOST } from '../lib/deployment.mjs';
import { Engine } from '../lib/engine.mjs';
import { Channel, newRequest } from '../lib/requester.mjs';
import { isTroubled, runCase } from '../lib/run.mjs';

const CHANNELS = 8;
const WORK_MS = 1_500;
const TIME_LIMIT_MS = 5_000;
/** Drafts that are asked for, one after another, until the engine has garbled an answer. */
const MAX_DRAFTS = 120;
/** One of the two draft engines spoils one of its first 20 answers. */
const GARBLED_ANSWER = 20;

/** The head of a stream without a length, which ends with its channel. */
function getHead({ 'attempt-id': attempt, 'response-seal': seal }) {
  return Buffer.from(
    `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer: desk\r\nAttempt-Id: ${attempt}\r\n` +
      `Response-Seal: ${seal}\r\nConnection: close\r\n\r\n`,
    'latin1',
  );
}

/** Sends a stream of one event. A garbled one has a wrong bit in its head and is broken off after it. */
function sendDraft(socket, identity, isGarbled) {
  const head = getHead(identity);
  if (isGarbled) head[head.indexOf('desk') + 3] |= 0x80;
  socket.write(head);
  if (!isGarbled) socket.write('id: 1\ndata: draft\n\n');
  socket.end();
}

/** Sends the request on each channel and resolves with what came of them. */
function book(channels, prefix, record) {
  return Promise.all(
    channels.map(async (channel, index) => {
      const attempt = `${prefix}-${index + 1}`;
      const body = '{"book":1}';
      const path = `/book/${attempt}`;
      channel.send(
        newRequest({ host: ROUTE_HOST, path, attempt, deadlineMs: TIME_LIMIT_MS, body }),
      );
      const answer = await Promise.race([channel.readAnswer(), sleep(TIME_LIMIT_MS + 2_000)]);
      const result = answer?.status ?? `no answer, channel ${channel.end ?? 'open'}`;
      record.add(`requester gets ${result} for ${attempt}`);
      return { attempt, status: answer?.status, end: channel.end };
    }),
  );
}

/** Asks for a draft on a channel of its own; resolves once the channel has ended or sent the event. */
async function askForDraft(port, attempt) {
  const channel = new Channel(port);
  await channel.opened;
  const path = `/draft/${attempt}`;
  channel.send(
    newRequest({ host: ROUTE_HOST, path, attempt, deadlineMs: TIME_LIMIT_MS, body: '{}' }),
  );
  while (channel.end === undefined && !channel.received.includes('data: draft')) await sleep(5);
  channel.close();
}

await runCase(import.meta.dirname, async (deployment, record) => {
  const desk = new Engine('i-desk-1', record, ({ response, identity }) => {
    setTimeout(() => {
      response.writeHead(200, { ...identity, 'content-length': 6 }).end('booked');
    }, WORK_MS);
  });
  const state = { garbled: 0 };
  const drafters = ['i-draft-1', 'i-draft-2'].map((id, index) => {
    const engine = new Engine(id, record, ({ attempt, response, identity }) => {
      const isDue = index === 0 && state.garbled === 0 && engine.runs.length >= GARBLED_ANSWER;
      const isGarbled = isTroubled && isDue;
      if (isGarbled) {
        state.garbled += 1;
        record.add(`engine ${id} garbles one of its ${engine.runs.length} answers, ${attempt}`);
      }
      sendDraft(response.socket, identity, isGarbled);
    });
    return engine;
  });
  const route = { host: ROUTE_HOST, goalLatencyMs: 1_000, timeoutMs: TIME_LIMIT_MS, attempts: 1 };
  deployment.configure({
    routes: [
      {
        ...route,
        name: 'r-book',
        pathPrefix: '/book/',
        kind: 'unsafe',
        priority: 2,
        service: 'order-desk',
      },
      {
        ...route,
        name: 'r-draft',
        pathPrefix: '/draft/',
        kind: 'streaming',
        priority: 1,
        service: 'drafts',
        resumable: false,
        gapAimMs: 400,
      },
    ],
    services: [
      { name: 'order-desk', healthPath: '/health', connLimit: 100 },
      { name: 'drafts', healthPath: '/health', connLimit: 100 },
    ],
  });
  deployment.register(desk.id, 'order-desk', await desk.start(), 'casa-a');
  for (const engine of drafters)
    deployment.register(engine.id, 'drafts', await engine.start(), 'casa-a');
  const gateway = await deployment.startGateways();
  // The machines have been without disruption for more than `stableMs`.
  await sleep(4_000);

  const channels = Array.from({ length: CHANNELS }, () => new Channel(gateway.port));
  await Promise.all(channels.map((channel) => channel.opened));
  const before = await book(channels, 'before', record);
  if (before.some(({ status }) => status !== 200)) return 2;
  for (let index = 1; index <= MAX_DRAFTS; index += 1) {
    if (drafters[0].runs.length >= GARBLED_ANSWER - 1) break;
    await askForDraft(gateway.port, `draft-${index}`);
  }
  if (drafters[0].runs.length !== GARBLED_ANSWER - 1) return 2;
  const booked = book(channels, 'during', record);
  await sleep(200);
  for (let index = 1; index <= 10 && gateway.exit === undefined; index += 1)
    await askForDraft(gateway.port, `later-${index}`).catch(() => undefined);
  const during = await booked;
  for (const channel of channels) channel.close();
  for (const engine of [desk, ...drafters]) engine.stop();
  const lost = during.filter(
    ({ attempt, status, end }) =>
      status === undefined && end !== undefined && desk.runs.includes(attempt),
  );
  for (const { attempt, end } of lost)
    record.add(`LOST: ${attempt} is at a sound engine; its channel was ${end} without an answer`);
  await sleep(200);
  record.add(
    `${lost.length} of ${during.length} requests on kept channels were lost; ${state.garbled} answers were garbled`,
  );
  if (!isTroubled && during.some(({ status }) => status !== 200)) return 2;
  // The rule allows three.
  return lost.length > 3 ? 1 : 0;
});
