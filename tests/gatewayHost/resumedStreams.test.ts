import { beforeEach, describe, expect, it } from 'vitest';
import { type BlockKind, getBlockKind } from '../../src/gatewayHost/eventCheck.ts';
import {
  FIN,
  getRawChunk,
  getRawHead,
  LAST_RAW_CHUNK,
  newRawEvents,
  type RawAnswer,
  RawEndpoint,
  RESET,
} from '../helpers/rawEndpoint.ts';
import { startStandIn } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const FIRST_PART = newRawEvents(1, 2);
const ERROR_TEXT = 'upstream failed\n\n';
const ERROR_HEAD =
  'HTTP/1.1 500 Internal Server Error\r\nServer: x\r\nContent-Length: 17\r\n\r\n' + ERROR_TEXT;

/** First parts of streams, which break off after two events. */
const BROKEN_STREAMS: [string, RawAnswer][] = [
  [
    'in chunks',
    (request) => [
      getRawHead(request, 'transfer-encoding: chunked') + getRawChunk(FIRST_PART),
      20,
      RESET,
    ],
  ],
  ['without a length', (request) => [getRawHead(request) + FIRST_PART, 20, RESET]],
];

function answerStatus(status: string, ...headers: string[]): RawAnswer {
  return (request) => [
    getRawHead(request, `content-length: ${ERROR_TEXT.length}`, ...headers).replace(
      '200 OK',
      status,
    ) + ERROR_TEXT,
  ];
}

/** What the next endpoint answers, and how many of its events are right. */
const SECOND_ANSWERS: [string, RawAnswer, number][] = [
  ['500 with a text', answerStatus('500 Error'), 0],
  ['404 with a text', answerStatus('404 Not Found'), 0],
  ['503 without a promise', answerStatus('503 Full'), 0],
  ['200 with a text', answerStatus('200 OK', 'content-type: text/plain'), 0],
  ['204', (request) => [getRawHead(request).replace('200 OK', '204 No Content')], 0],
  ['no seal', () => [`HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n${ERROR_TEXT}`], 0],
  ['bytes that are no response', () => ['garbage\r\n\r\n', FIN], 0],
  [
    'the text of an error without a length',
    (request) => [getRawHead(request) + ERROR_TEXT, FIN],
    0,
  ],
  [
    'the head of an error without a length',
    (request) => [getRawHead(request) + ERROR_HEAD, FIN],
    0,
  ],
  [
    'an event and the head of an error without a length',
    (request) => [getRawHead(request) + newRawEvents(3, 3) + ERROR_HEAD, FIN],
    1,
  ],
  [
    'an event and the head of an error later',
    (request) => [getRawHead(request) + newRawEvents(3, 3), 20, ERROR_HEAD, FIN],
    1,
  ],
  [
    'an event and the text of an error in chunks that end properly',
    (request) => [
      getRawHead(request, 'transfer-encoding: chunked'),
      getRawChunk(newRawEvents(3, 3) + ERROR_TEXT) + LAST_RAW_CHUNK,
    ],
    1,
  ],
  [
    'an event and JSON in chunks that end properly',
    (request) => [
      getRawHead(request, 'transfer-encoding: chunked'),
      getRawChunk(`${newRawEvents(3, 3)}{"error":"x"}\n\n`) + LAST_RAW_CHUNK,
    ],
    1,
  ],
  [
    'an event and a head in place of a chunk',
    (request) => [
      getRawHead(request, 'transfer-encoding: chunked'),
      getRawChunk(newRawEvents(3, 3)) + ERROR_HEAD,
      FIN,
    ],
    1,
  ],
];

// Guards against an error of an endpoint that callers get in the middle of their stream, and against such a
// stream that ends as if it were complete.
describe.each(BROKEN_STREAMS)(
  'after a first part %s, the next endpoint answers',
  (_name, begin) => {
    let deployment: GatewayDeployment;
    let engines: RawEndpoint[];

    beforeEach(async () => {
      deployment = await GatewayDeployment.create();
      deployment.configure(1);
      engines = [RawEndpoint.create(() => []), RawEndpoint.create(() => [])];
      for (const [index, engine] of engines.entries())
        deployment.register('llm', `e${index}`, await startStandIn(engine));
      await deployment.addHost();
      await deployment.waitReady(2);
    });

    it.each(SECOND_ANSWERS)('%s', async (_answer, second, events) => {
      const answerFirst: RawAnswer = (request) => {
        for (const { plannedAnswers } of engines)
          plannedAnswers.splice(0, plannedAnswers.length, second);
        return begin(request);
      };
      for (const { plannedAnswers } of engines) plannedAnswers.push(answerFirst);
      const { body, error } = await deployment.stream('/notes/1', undefined);
      expect(body).toBe(newRawEvents(1, 2 + events));
      expect(error).toBeDefined();
    });
  },
);

it.each<[string, string, BlockKind]>([
  ['an event', 'id: 1\ndata: a\n\n', 'event'],
  ['an event with a field of the platform', 'weight-versions: 3\nid: 1\ndata: a\n\n', 'event'],
  ['an event after a byte order mark', '\uFEFFid: 1\ndata: a\n\n', 'event'],
  ['several lines of data, CRLF', 'data: a b\r\ndata: {"c": 1}\r\n\r\n', 'event'],
  ['a field without a value', 'data\n\n', 'event'],
  ['comments', ': keep-alive\n\n', 'filler'],
  ['empty lines', '\n\r\n\r', 'filler'],
  ['a time to reconnect', 'retry: 1000\n\n', 'filler'],
  ['the name of an event', 'event: ping\n\n', 'filler'],
  ['a comment and a text', ': a\nupstream failed\n\n', 'malformed'],
  ['a text', 'upstream failed\n\n', 'malformed'],
  ['one word', 'error\n\n', 'malformed'],
  ['JSON', '{"error": "x"}\n\n', 'malformed'],
  ['HTML', '<html>\n\n', 'malformed'],
  ['a head', 'HTTP/1.1 500 Error\r\nServer: x\r\n\r\n', 'malformed'],
  ['headers', 'Server: x\r\nDate: y\r\n\r\n', 'malformed'],
  ['an event and a text', 'id: 1\nupstream failed\n\n', 'malformed'],
])('tells what a block of lines is: %s', (_name, text, expected) => {
  expect(getBlockKind(Buffer.from(text).toString('latin1'))).toBe(expected);
});
