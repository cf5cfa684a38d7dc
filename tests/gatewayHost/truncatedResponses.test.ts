import { Agent, request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  EXIT,
  FIN,
  LAST_EVENT,
  LAST_RAW_CHUNK,
  RESET,
  WHOLE_STREAM,
  getRawChunk,
  getRawHead,
  newRawEvents,
  type RawAnswer,
  RawEndpoint,
  type RawStep,
  sendRest,
} from '../helpers/rawEndpoint.ts';
import { cleanUpAfterTest, startStandIn } from '../support.ts';
import { GatewayDeployment, HOST, MODEL } from './deployment.ts';

const PAUSE_MS = 20;
const HALF_EVENT = 'id: 3\ndata: tok';
const WITHOUT_EMPTY_LINE = 'id: 3\ndata: token 3\n';

/** Sends `steps` after a head without length and chunks. */
function sendUnframed(...steps: RawStep[]): RawAnswer {
  return (request) => [getRawHead(request), ...steps];
}

/** Sends head and body in one segment and ends the connection. */
function sendAtOnce(body: string, ...ends: RawStep[]): RawAnswer {
  return (request) => [getRawHead(request) + body, ...ends];
}

function sendChunked(...steps: RawStep[]): RawAnswer {
  return (request) => [getRawHead(request, 'transfer-encoding: chunked'), ...steps];
}

function sendWithLength(body: string): RawAnswer {
  return (request) => [getRawHead(request, `content-length: ${body.length}`) + body];
}

async function startDeployment(service: 'llm' | 'desk') {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const endpoints = [RawEndpoint.create(sendRest), RawEndpoint.create(sendRest)];
  for (const [index, endpoint] of endpoints.entries())
    deployment.register(service, `e${index}`, await startStandIn(endpoint));
  await deployment.addHost();
  await deployment.waitReady(2);
  return { deployment, endpoints };
}

/** Lets whichever endpoint gets the first request answer it with `answer`. */
function planFirst(endpoints: RawEndpoint[], answer: RawAnswer): void {
  const answerOnce: RawAnswer = (request) => {
    for (const { plannedAnswers } of endpoints) plannedAnswers.length = 0;
    return answer(request);
  };
  for (const { plannedAnswers } of endpoints) plannedAnswers.push(answerOnce);
}

/** Streams that were broken off, with the events that are complete. */
const TRUNCATED_STREAMS: [string, RawAnswer, number][] = [
  [
    'within an event, later',
    sendUnframed(newRawEvents(1, 2), PAUSE_MS, HALF_EVENT, PAUSE_MS, FIN),
    2,
  ],
  ['within an event, at once', sendAtOnce(newRawEvents(1, 2) + HALF_EVENT, FIN), 2],
  ['within the first event', sendAtOnce('id: 1\nda', FIN), 0],
  ['just before the empty line', sendUnframed(newRawEvents(1, 2) + WITHOUT_EMPTY_LINE, FIN), 2],
  [
    'just before the empty line with CRLF',
    sendUnframed(newRawEvents(1, 2, '\r\n') + 'id: 3\r\ndata: token 3\r\n', FIN),
    2,
  ],
  [
    'just before the empty line with CR',
    sendUnframed(newRawEvents(1, 2, '\r') + 'id: 3\rdata: token 3\r', FIN),
    2,
  ],
  ['within an event with CR', sendUnframed(newRawEvents(1, 2, '\r') + 'id: 3\rdata: t', FIN), 2],
  ['within an event by a reset', sendUnframed(newRawEvents(1, 2) + HALF_EVENT, PAUSE_MS, RESET), 2],
  ['between events by a reset', sendUnframed(newRawEvents(1, 2), PAUSE_MS, RESET), 2],
  ['between events as the endpoint exits', sendUnframed(newRawEvents(1, 2), PAUSE_MS, EXIT), 2],
  [
    'between events, and the endpoint exits after it',
    sendUnframed(newRawEvents(1, 2), FIN, 2, EXIT),
    2,
  ],
  ['before its first event as the endpoint exits', sendUnframed(PAUSE_MS, EXIT), 0],
  [
    'within an event in chunks that end properly',
    sendChunked(getRawChunk(newRawEvents(1, 2) + HALF_EVENT), LAST_RAW_CHUNK),
    2,
  ],
  ['within an event in chunks', sendChunked(getRawChunk(newRawEvents(1, 2) + HALF_EVENT), FIN), 2],
  ['within an event under a length', sendWithLength(newRawEvents(1, 2) + HALF_EVENT), 2],
];

/** Complete streams, with the body that the caller gets. */
const SOUND_STREAMS: [string, RawAnswer, string][] = [
  [
    'later',
    sendUnframed(newRawEvents(1, 2), PAUSE_MS, newRawEvents(3, 4), PAUSE_MS, FIN),
    WHOLE_STREAM,
  ],
  ['at once', sendAtOnce(WHOLE_STREAM, FIN), WHOLE_STREAM],
  ['with CRLF', sendUnframed(newRawEvents(1, 4, '\r\n'), FIN), newRawEvents(1, 4, '\r\n')],
  ['with CR', sendUnframed(newRawEvents(1, 4, '\r'), FIN), newRawEvents(1, 4, '\r')],
  [
    'with CRLF that segments split',
    sendUnframed('id: 1\r\ndata: token 1\r\n\r', PAUSE_MS, '\n' + newRawEvents(2, 4, '\r\n'), FIN),
    newRawEvents(1, 4, '\r\n'),
  ],
  [
    'with a comment at its end',
    sendUnframed(`${WHOLE_STREAM}: bye\n`, FIN),
    `${WHOLE_STREAM}: bye\n`,
  ],
  ['in chunks', sendChunked(getRawChunk(WHOLE_STREAM), LAST_RAW_CHUNK), WHOLE_STREAM],
  ['under a length', sendWithLength(WHOLE_STREAM), WHOLE_STREAM],
];

// Guards against responses that are framed as complete for their callers and aren't.
describe('a stream that was broken off', () => {
  let deployment: GatewayDeployment;
  let endpoints: RawEndpoint[];

  beforeEach(async () => {
    ({ deployment, endpoints } = await startDeployment('llm'));
  });

  it.each(TRUNCATED_STREAMS)('%s is incomplete for its caller', async (_name, answer, complete) => {
    planFirst(endpoints, answer);
    const received = await deployment.stream('/labels/1', undefined);
    if (complete === 0) expect(received.status).toBe(502);
    else expect(received.error).toBeDefined();
    const events = received.body.split(/\r\n\r\n|\n\n|\r\r/).slice(0, -1);
    if (complete > 0) expect(events).toHaveLength(complete);
    expect(received.body).not.toContain('id: 3');
    expect(endpoints.flatMap(({ requests }) => requests)).toHaveLength(1);
  });

  it.each(TRUNCATED_STREAMS)(
    '%s is resumed at another endpoint',
    async (_name, answer, complete) => {
      planFirst(endpoints, answer);
      const received = await deployment.stream('/notes/1', undefined);
      expect(received).toMatchObject({ status: 200, error: undefined });
      expect(received.body.match(/id: \d[\r\n]+data: token \d[\r\n]+/g)).toHaveLength(LAST_EVENT);
      expect(received.body.match(/id: 3/g)).toHaveLength(1);
      const resumed = endpoints.flatMap(({ requests }) => requests).at(-1);
      expect(resumed?.headers['last-event-id']).toBe(complete === 0 ? undefined : String(complete));
    },
  );
});

/** Reads a stream without HTTP/1.1, where the end of the connection ends the body. */
function streamOverHttp10(front: string): Promise<{ received: string; error: string | undefined }> {
  const [host = '', port] = front.split(':');
  const head = [
    'POST /labels/1 HTTP/1.0',
    `host: ${HOST}`,
    'attempt-id: old1',
    `model: ${MODEL}`,
    'token-count: 100,10',
    'content-length: 2',
  ];
  return new Promise((resolve) => {
    let received = '';
    const socket = connect({ host, port: Number(port) });
    socket.write(`${head.join('\r\n')}\r\n\r\n{}`);
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', ({ message }) => resolve({ received, error: message }));
    socket.on('end', () => resolve({ received, error: undefined }));
  });
}

describe('a stream of a caller that reads to the end of its connection', () => {
  it.each<[string, RawAnswer, boolean]>([
    ['is reset if it was broken off', sendUnframed(newRawEvents(1, 2), PAUSE_MS, RESET), true],
    ['ends if it is complete', sendUnframed(WHOLE_STREAM, PAUSE_MS, FIN), false],
  ])('%s', async (_name, answer, isBroken) => {
    const { deployment, endpoints } = await startDeployment('llm');
    planFirst(endpoints, answer);
    const { received, error } = await streamOverHttp10(deployment.fronts[0] ?? '');
    expect(received).toContain(isBroken ? newRawEvents(1, 2) : WHOLE_STREAM);
    expect(error !== undefined).toBe(isBroken);
  });
});

// Guards against events that arrive twice, since a stream can only be resumed after a known event.
it('a stream whose events have no ids is not resumed once one was passed on', async () => {
  const { deployment, endpoints } = await startDeployment('llm');
  planFirst(endpoints, sendUnframed('data: token 1\n\n', PAUSE_MS, RESET));
  const received = await deployment.stream('/notes/1', undefined);
  expect(received.error).toBeDefined();
  expect(received.body).toBe('data: token 1\n\n');
  expect(endpoints.flatMap(({ requests }) => requests)).toHaveLength(1);
});

describe('a complete stream', () => {
  let deployment: GatewayDeployment;
  let endpoints: RawEndpoint[];

  beforeEach(async () => {
    ({ deployment, endpoints } = await startDeployment('llm'));
  });

  it.each(SOUND_STREAMS)('%s arrives whole and is sent once', async (_name, answer, body) => {
    planFirst(endpoints, answer);
    const received = await deployment.stream('/notes/1', undefined);
    expect(received).toMatchObject({ status: 200, error: undefined, body });
    expect(endpoints.flatMap(({ requests }) => requests)).toHaveLength(1);
  });

  it('without a length leaves the connection of its caller open', async () => {
    for (const { plannedAnswers } of endpoints)
      plannedAnswers.push(sendAtOnce(WHOLE_STREAM, FIN), sendAtOnce(WHOLE_STREAM, FIN));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    cleanUpAfterTest(() => {
      agent.destroy();
      return Promise.resolve();
    });
    const ports: (number | undefined)[] = [];
    for (const attempt of ['k1', 'k2']) {
      const { body, port } = await streamOver(agent, deployment.fronts[0] ?? '', attempt);
      expect(body).toBe(WHOLE_STREAM);
      ports.push(port);
    }
    expect(ports[1]).toBe(ports[0]);
  });
});

/** Reads a stream over a connection of `agent`; `port` is the local port of that connection. */
function streamOver(
  agent: Agent,
  front: string,
  attempt: string,
): Promise<{ body: string; port: number | undefined }> {
  const [hostname, port] = front.split(':');
  const headers = {
    host: HOST,
    'attempt-id': attempt,
    model: MODEL,
    'token-count': '100,10',
    'deadline-ms': '5000',
  };
  const options = { hostname, port, path: '/notes/1', method: 'POST', agent, headers };
  return new Promise((resolve, reject) => {
    const call = httpRequest(options, (response) => {
      const localPort = call.socket?.localPort;
      let body = '';
      response.on('data', (chunk: Buffer) => (body += chunk.toString()));
      response.on('error', reject);
      response.on('end', () => resolve({ body, port: localPort }));
    });
    call.on('error', reject);
    call.end('{}');
  });
}

describe('a plain response', () => {
  let deployment: GatewayDeployment;
  let endpoints: RawEndpoint[];

  beforeEach(async () => {
    ({ deployment, endpoints } = await startDeployment('desk'));
  });

  it.each<[string, string, string, number]>([
    ['204', 'POST', 'HTTP/1.1 204 No Content', 204],
    ['304', 'GET', 'HTTP/1.1 304 Not Modified', 304],
    ['HEAD', 'HEAD', 'HTTP/1.1 200 OK', 200],
  ])('without a body arrives: %s', async (_name, method, statusLine, status) => {
    planFirst(endpoints, (request) => [getRawHead(request).replace('HTTP/1.1 200 OK', statusLine)]);
    const received = await deployment.send({ path: '/booking/1', method });
    expect(received).toMatchObject({ status, body: '', error: undefined });
  });

  it.each<[string, RawAnswer, string, number, number]>([
    ['without a length arrives', sendUnframed('booked', PAUSE_MS, FIN), '/booking/1', 200, 1],
    ['without a length arrives at once', sendAtOnce('booked', FIN), '/booking/1', 200, 1],
    [
      'without a length of an endpoint that exits may be incomplete',
      sendUnframed('boo', PAUSE_MS, EXIT),
      '/booking/1',
      502,
      1,
    ],
    [
      'without a length of an endpoint that exits after it may be incomplete',
      sendAtOnce('boo', FIN, 2, EXIT),
      '/booking/1',
      502,
      1,
    ],
    [
      'that may be incomplete is requested again if its route is safe',
      sendUnframed('boo', PAUSE_MS, EXIT),
      '/status/1',
      200,
      2,
    ],
  ])('%s', async (_name, answer, path, status, runs) => {
    planFirst(endpoints, answer);
    const received = await deployment.send({ path });
    expect(received).toMatchObject({ status, error: undefined });
    if (path === '/booking/1' && status === 200) expect(received.body).toBe('booked');
    expect(endpoints.flatMap(({ requests }) => requests)).toHaveLength(runs);
  });
});
