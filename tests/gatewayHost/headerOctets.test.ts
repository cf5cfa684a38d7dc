import { beforeEach, describe, expect, it } from 'vitest';
import {
  FIN,
  LAST_RAW_CHUNK,
  RawEndpoint,
  RESET,
  type RawAnswer,
  getRawChunk,
  getRawHead,
} from '../helpers/rawEndpoint.ts';
import { startStandIn } from '../support.ts';
import { GatewayDeployment, MODEL } from './deployment.ts';

/** A header value with each octet that HTTP allows in it, as one character for each octet. */
const OCTETS = [
  ...Array.from({ length: 0x7e - 0x21 + 1 }, (_, index) => 0x21 + index),
  ...Array.from({ length: 0x80 }, (_, index) => 0x80 + index),
]
  .map((octet) => String.fromCharCode(octet))
  .join('');
const OCTET_HEADER = `x-octets: ${OCTETS}`;

// Guards against header values that are changed on their way, and against requests that are never
// answered because a response could not be written.
describe('header values are passed on octet by octet', () => {
  let deployment: GatewayDeployment;
  let desk: RawEndpoint;
  let engines: RawEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    desk = RawEndpoint.create((request) => [`${getRawHead(request, 'content-length: 2')}ok`]);
    engines = [RawEndpoint.create(() => []), RawEndpoint.create(() => [])];
    deployment.register('desk', 'd1', await startStandIn(desk));
    for (const [index, engine] of engines.entries())
      deployment.register('llm', `e${index}`, await startStandIn(engine));
    await deployment.addHost();
    await deployment.waitReady(3);
  });

  const RESPONSES: [string, string, RawAnswer][] = [
    [
      'of a response with a length',
      '/booking/1',
      (request) => [`${getRawHead(request, OCTET_HEADER, 'content-length: 2')}ok`],
    ],
    [
      'of a response in chunks',
      '/booking/1',
      (request) => [
        getRawHead(request, OCTET_HEADER, 'transfer-encoding: chunked'),
        getRawChunk('ok'),
        LAST_RAW_CHUNK,
      ],
    ],
    [
      'of a response that ends with its connection',
      '/booking/1',
      (request) => [getRawHead(request, OCTET_HEADER), 'ok', FIN],
    ],
    [
      'of a stream that ends with its connection',
      '/labels/1',
      (request) => [getRawHead(request, OCTET_HEADER), 'id: 1\ndata: a\n\n', FIN],
    ],
    [
      'of a stream',
      '/labels/1',
      (request) => [
        getRawHead(request, OCTET_HEADER, 'transfer-encoding: chunked'),
        getRawChunk('id: 1\ndata: a\n\n'),
        LAST_RAW_CHUNK,
      ],
    ],
  ];

  it.each(RESPONSES)('%s', async (_name, path, answer) => {
    for (const endpoint of [desk, ...engines]) endpoint.plannedAnswers.push(answer);
    const received = await (path === '/labels/1'
      ? deployment.stream(path, undefined)
      : deployment.send({ path }));
    expect(received).toMatchObject({ status: 200, error: undefined });
    expect(received.headers['x-octets']).toBe(OCTETS);
  });

  it('of a request', async () => {
    const received = await deployment.send({ path: '/booking/1', headers: { 'x-octets': OCTETS } });
    expect(received.status).toBe(200);
    expect(desk.requests.at(-1)?.headers['x-octets']).toBe(OCTETS);
  });

  it('of the id of an attempt, which the response must repeat', async () => {
    const headers = { 'attempt-id': 'a\xe9b' };
    expect((await deployment.send({ path: '/booking/1', headers })).status).toBe(200);
  });

  it('of the id of the last event, at which a stream is resumed', async () => {
    const [id] = ['id: \xc3\xa9\ndata: a\n\n'];
    const begin: RawAnswer = (request) => {
      for (const { plannedAnswers } of engines) plannedAnswers.splice(0, 1, resume);
      const head = getRawHead(request, 'transfer-encoding: chunked');
      return [`${head}${id.length.toString(16)}\r\n${id}\r\n`, 20, RESET];
    };
    const resume: RawAnswer = (request) => {
      const last = request.headers['last-event-id'] ?? '';
      const head = getRawHead(request, 'transfer-encoding: chunked', `x-last: ${last}`);
      return [head, getRawChunk(last === '\xc3\xa9' ? 'id: 2\ndata: b\n\n' : ''), LAST_RAW_CHUNK];
    };
    for (const { plannedAnswers } of engines) plannedAnswers.push(begin);
    const headers = { model: MODEL, 'token-count': '100,10', 'prompt-prefix': 'ab:100' };
    const received = await deployment.send({ path: '/notes/1', headers, body: '{}' });
    expect(received.body).toContain('id: 2\ndata: b');
    expect(received.error).toBeUndefined();
  });
});
