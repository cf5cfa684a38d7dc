import { setTimeout as sleep } from 'node:timers/promises';
import { ROUTE_HOST } from '../lib/deployment.mjs';
import { Engine } from '../lib/engine.mjs';
import { Channel, newRequest } from '../lib/requester.mjs';
import { isTroubled, runCase } from '../lib/run.mjs';

/** Length of the freeze, as the site's list of troubles gives it. */
const FREEZE_MS = 3_500;
const TIME_LIMIT_MS = 12_000;
const CHANNELS = 6;
/** Statuses that promise that the request has not run and never will run. */
const PROMISES = [408, 421, 429, 503];

function newBooking(attempt) {
  const body = '{"book":1}';
  return newRequest({
    host: ROUTE_HOST,
    path: '/book/1',
    attempt,
    deadlineMs: TIME_LIMIT_MS,
    body,
  });
}

async function read(channel, attempt, record) {
  const answer = await Promise.race([channel.readAnswer(), sleep(TIME_LIMIT_MS + 2_000)]);
  const result =
    answer === undefined ? `no answer, channel ${channel.end ?? 'open'}` : answer.status;
  record.add(`requester gets ${result} for ${attempt}`);
  return { attempt, status: answer?.status };
}

await runCase(import.meta.dirname, async (deployment, record) => {
  const engines = ['i-1', 'i-2'].map(
    (id) =>
      new Engine(id, record, ({ response, identity }) => {
        response.writeHead(200, { ...identity, 'content-length': 6 }).end('booked');
      }),
  );
  const route = { name: 'r-book', host: ROUTE_HOST, pathPrefix: '/book/', kind: 'unsafe' };
  deployment.configure({
    routes: [
      {
        ...route,
        timeoutMs: TIME_LIMIT_MS,
        goalLatencyMs: 1_000,
        priority: 2,
        service: 'order-desk',
        attempts: 1,
      },
    ],
    services: [{ name: 'order-desk', healthPath: '/health', connLimit: 100 }],
  });
  for (const engine of engines)
    deployment.register(engine.id, 'order-desk', await engine.start(), 'casa-a');
  const gateway = await deployment.startGateways();
  // The machines have been without disruption for more than `stableMs`.
  await sleep(4_000);

  // New channels, and kept ones that have brought an answer before.
  const opened = Array.from({ length: CHANNELS }, () => new Channel(gateway.port));
  const kept = Array.from({ length: CHANNELS }, () => new Channel(gateway.port));
  await Promise.all([...opened, ...kept].map((channel) => channel.opened));
  for (const [index, channel] of kept.entries()) {
    channel.send(newBooking(`before-${index + 1}`));
    const { status } = await read(channel, `before-${index + 1}`, record);
    if (status !== 200) return 2;
  }
  // Requests on kept channels are under way: the second part of each comes 400 ms after the first.
  const halves = kept.map((_, index) => {
    const bytes = newBooking(`kept-${index + 1}`);
    return [bytes.slice(0, 60), bytes.slice(60)];
  });
  for (const [index, channel] of kept.entries()) channel.send(halves[index][0]);
  record.add('requesters have sent the first part of each request on a kept channel');
  await sleep(100);
  if (isTroubled) {
    gateway.child.kill('SIGSTOP');
    record.add(`gateway ${gateway.node} freezes`);
  }
  await sleep(300);
  for (const [index, channel] of kept.entries()) channel.send(halves[index][1]);
  for (const [index, channel] of opened.entries()) channel.send(newBooking(`new-${index + 1}`));
  record.add('requesters have sent all requests, each once');
  const answers = [
    ...kept.map((channel, index) => read(channel, `kept-${index + 1}`, record)),
    ...opened.map((channel, index) => read(channel, `new-${index + 1}`, record)),
  ];
  await sleep(FREEZE_MS - 300);
  if (isTroubled) {
    gateway.child.kill('SIGCONT');
    record.add(`gateway ${gateway.node} wakes after ${FREEZE_MS} ms`);
  }
  const ended = await Promise.all(answers);
  await sleep(1_000);
  for (const channel of [...opened, ...kept]) channel.close();
  for (const engine of engines) engine.stop();
  const ran = new Set(engines.flatMap(({ runs }) => runs));
  const broken = ended.filter(
    ({ attempt, status }) => PROMISES.includes(status) && ran.has(attempt),
  );
  for (const { attempt, status } of broken)
    record.add(`REFUSED: ${attempt} was answered ${status} and has run`);
  record.add(`${broken.length} of ${ended.length} requests were refused and have run`);
  return broken.length > 0 ? 1 : 0;
});
