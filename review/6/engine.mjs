// An engine in a process of its own. In trouble, it sends bytes that are no answer in the body of a stream, until its
// caller closes.
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { Server } from '../lib2/deployment.mjs';

const EVENTS = 20;
const EVENT_GAP_MS = 50;
const BLANK_LINES = '\n'.repeat(16_384);

const [id, zone] = process.argv.slice(2);
let isInTrouble = false;
let sentBytes = 0;

function sendBlankLines(response) {
  const send = () => {
    while (!response.destroyed) {
      sentBytes += BLANK_LINES.length;
      if (!response.write(BLANK_LINES)) return;
    }
  };
  response.on('drain', send);
  send();
}

async function run({ headers, url, echo, response }) {
  const attempt = headers['attempt-id'];
  process.send({ type: 'run', id, attempt, url, isInTrouble });
  response.writeHead(200, {
    ...echo,
    'response-seal': `${id}.${attempt}`,
    'weight-versions': '1',
    'content-type': 'text/event-stream',
  });
  for (let event = 1; event <= EVENTS; event++) {
    await sleep(EVENT_GAP_MS);
    if (response.destroyed) return;
    if (isInTrouble && event === 3) {
      sendBlankLines(response);
      return;
    }
    response.write(`id: ${event}\ndata: piece ${event} of ${attempt}\n\n`);
  }
  response.end();
}

const store = { put: (table, key, value) => process.send({ type: 'put', table, key, value }) };
const server = new Server({ store, id, service: 'llm', zone, isEngine: true, run });
await server.start(['base']);
process.on('message', (message) => {
  if (message === 'trouble') isInTrouble = true;
  if (message === 'count') process.send({ type: 'sent', sentBytes });
});
process.on('disconnect', () => process.exit(0));
