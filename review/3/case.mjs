import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { ROUTE_HOST } from '../lib/deployment.mjs';
import { Engine } from '../lib/engine.mjs';
import { Channel, newRequest } from '../lib/requester.mjs';
import { isTroubled, runCase } from '../lib/run.mjs';

const TIMEOUT_MS = 2_500;
/** The requesters wait longer than the route's `timeoutMs`. */
const TIME_LIMIT_MS = 5_000;
const REQUESTS = 600;
const INTERVAL_MS = 10;
/** Work of the engines on a request, as in the site. */
const WORK_MS = 40;
/** Two of four engines spoil 5 of 100 answers for 6 s, here each twentieth. */
const GARBLING = new Set(['i-1', 'i-2']);
const GARBLED_EACH = 20;
/** The value `desk` of a header, in which one bit of the last octet is wrong. */
const GARBLED_VALUE = 'des\u00EB';

await runCase(import.meta.dirname, async (deployment, record) => {
  const garbled = new Set();
  const engines = ['i-1', 'i-2', 'i-3', 'i-4'].map((id) => {
    const engine = new Engine(id, record, ({ attempt, response, identity }) => {
      const isDue = engine.runs.length % GARBLED_EACH === 0;
      const isGarbled = isTroubled && GARBLING.has(id) && isDue;
      if (isGarbled) {
        garbled.add(attempt);
        record.add(`engine ${id} garbles its answer to ${attempt}`);
      }
      const server = isGarbled ? GARBLED_VALUE : 'desk';
      setTimeout(() => {
        response.writeHead(200, { server, ...identity, 'content-length': 6 });
        // Bytes, since a text would be encoded together with the head.
        response.end(Buffer.from('booked'));
      }, WORK_MS);
    });
    return engine;
  });
  deployment.configure({
    routes: [
      {
        name: 'r-book',
        host: ROUTE_HOST,
        pathPrefix: '/book/',
        kind: 'unsafe',
        timeoutMs: TIMEOUT_MS,
        goalLatencyMs: 150,
        priority: 2,
        service: 'order-desk',
        attempts: 1,
      },
    ],
    services: [{ name: 'order-desk', healthPath: '/health', connLimit: 100 }],
  });
  for (const engine of engines)
    deployment.register(engine.id, 'order-desk', await engine.start(), 'casa-a', { slots: 6 });
  const gateway = await deployment.startGateways();
  // The machines have been without disruption for more than `stableMs`.
  await sleep(4_000);

  const ask = async (attempt) => {
    const channel = new Channel(gateway.port);
    await channel.opened;
    const body = '{"book":1}';
    const path = `/book/${attempt}`;
    channel.send(newRequest({ host: ROUTE_HOST, path, attempt, deadlineMs: TIME_LIMIT_MS, body }));
    const answer = await Promise.race([channel.readAnswer(), sleep(TIMEOUT_MS + 500)]);
    const isUnanswered = answer === undefined;
    if (isUnanswered)
      record.add(
        `${attempt} has no answer ${TIMEOUT_MS + 500} ms after it was sent; its channel is ${channel.end ?? 'open'}`,
      );
    const isWaiting = isUnanswered && channel.end === undefined;
    channel.close();
    return { attempt, status: answer?.status, isWaiting };
  };
  const asked = [];
  for (let index = 1; index <= REQUESTS; index += 1) {
    asked.push(ask(`book-${index}`));
    await sleep(INTERVAL_MS);
  }
  const results = await Promise.all(asked);
  for (const engine of engines) engine.stop();
  const waiting = results.filter(({ isWaiting }) => isWaiting);
  const served = results.filter(({ status }) => status === 200).length;
  const ran = new Set(engines.flatMap(({ runs }) => runs));
  const waitingAndRan = waiting.filter(({ attempt }) => ran.has(attempt)).length;
  record.add(`${results.length} requests: ${served} served, ${garbled.size} answers garbled`);
  record.add(
    `CONFIG: ${waiting.length} had no final answer 0.5 s after the route's timeoutMs; ${waitingAndRan} of them have run`,
  );
  if (!isTroubled && served !== results.length) return 2;
  // All others were answered before `timeoutMs`: of those that lasted longer, all are without an answer.
  const lasted = results.length - served;
  return waiting.length >= 8 && 4 * waiting.length > lasted ? 1 : 0;
});
