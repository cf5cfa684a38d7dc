import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import {
  getRawChunk,
  getRawHead,
  newRawEvents,
  type RawAnswer,
  RawEndpoint,
  RESET,
} from '../helpers/rawEndpoint.ts';
import { cleanUpAfterTest, startStandIn } from '../support.ts';
import { type CallerRequest, GatewayDeployment, MODEL } from './deployment.ts';

/** Statuses that no HTTP answer has, interim ones that come alone included. */
const STATUSES = ['000', '0', '099', '20', '2x0', '-200', '1000', '100', '101', '600', '999'];

/** Answers with a status, the labels of a sound answer and a body. */
function answerWith(status: string): RawAnswer {
  return (request) => [
    getRawHead(request, 'content-length: 2').replace('200 OK', `${status} Odd`),
    'ok',
    50,
    RESET,
  ];
}

const answerOk: RawAnswer = (request) => [getRawHead(request, 'content-length: 2'), 'ok'];
const ODD_HEADERS = { model: MODEL, 'token-count': '10,4', 'prompt-prefix': 'a1:10' };

/** Starts a host in front of endpoints of a service, of which each gives its answers in turn. */
async function startDeployment(service: 'desk' | 'llm', answers: RawAnswer[]) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  for (const [index, answer] of answers.entries()) {
    const endpoint = RawEndpoint.create((request) =>
      request.target === '/health'
        ? ['HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n']
        : answer(request),
    );
    deployment.register(service, `e${index}`, await startStandIn(endpoint));
  }
  await deployment.addHost();
  await deployment.waitReady(answers.length);
  return deployment;
}

const REQUESTS: [string, 'desk' | 'llm', CallerRequest][] = [
  ['an unsafe request', 'desk', { path: '/booking/1' }],
  ['a safe request', 'desk', { path: '/status/1', method: 'GET' }],
  ['a stream', 'llm', { path: '/labels/1', headers: ODD_HEADERS }],
  ['a stream that may be resumed', 'llm', { path: '/notes/1', headers: ODD_HEADERS }],
];

// Guards against callers that get a status which is none as the answer of an endpoint.
describe.each(REQUESTS)('%s', (_name, service, request) => {
  it.each(STATUSES)('gets no answer with status %s', async (status) => {
    const deployment = await startDeployment(service, [answerWith(status)]);
    const answer = await deployment.send(request);
    expect([0, 502, 503, 504]).toContain(answer.status);
    expect(answer.headers['response-seal']).toBeUndefined();
  });
});

// Guards against a retry that passes on what the first attempt got, or gets the same.
it.each(STATUSES)('a safe request is repeated after status %s', async (status) => {
  let isFirst = true;
  const answer: RawAnswer = (request) => {
    const steps = isFirst ? answerWith(status)(request) : answerOk(request);
    isFirst = false;
    return steps;
  };
  const deployment = await startDeployment('desk', [answer, answer]);
  expect((await deployment.send({ path: '/status/1', method: 'GET' })).status).toBe(200);
});

// Guards against a stream that goes on with an answer which is none.
it.each(STATUSES)('a stream is not resumed with status %s', async (status) => {
  const answer: RawAnswer = (request) =>
    request.headers['last-event-id'] === undefined
      ? [
          getRawHead(request, 'transfer-encoding: chunked'),
          getRawChunk(newRawEvents(1, 2)),
          30,
          RESET,
        ]
      : answerWith(status)(request);
  const deployment = await startDeployment('llm', [answer, answer]);
  const { body } = await deployment.send({ path: '/notes/1', headers: ODD_HEADERS });
  expect(body).toBe(newRawEvents(1, 2));
});

// Guards against answers of the store, of engines and of services that count although their status is none.
it.each(STATUSES)('a call does not take status %s for an answer', async (status) => {
  const address = await startStandIn(RawEndpoint.create(answerWith(status)));
  const client = HttpClient.create({});
  cleanUpAfterTest(() => client.close());
  const call = { address: `http://${address}`, method: 'GET', path: '/x', timeoutMs: 500 } as const;
  expect((await client.call({ ...call, headers: {} })).type).toBe('lost');
});
