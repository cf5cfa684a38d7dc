import { describe, expect, it } from 'vitest';
import {
  FIN,
  getRawHead,
  type RawAnswer,
  type RawEnd,
  RawEndpoint,
  type RawRequest,
  RESET,
} from '../helpers/rawEndpoint.ts';
import { startStandIn } from '../support.ts';
import { type CallerRequest, GatewayDeployment, MODEL } from './deployment.ts';

type Head = (request: RawRequest) => string;

function withStatus(status: string, ...headers: string[]): Head {
  return (request) => getRawHead(request, ...headers).replace('200 OK', status);
}

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n';
const STREAM: Pick<CallerRequest, 'path' | 'headers'> = {
  path: '/labels/1',
  headers: { model: MODEL, 'token-count': '10,4', 'prompt-prefix': 'a1:10' },
};

/** Heads of answers, with the requests that they answer. */
const HEADS: [string, CallerRequest, Head][] = [
  ['with a length', { path: '/booking/1' }, withStatus('200 OK', 'content-length: 2')],
  ['in chunks', { path: '/booking/1' }, withStatus('200 OK', 'transfer-encoding: chunked')],
  [
    'of a HEAD request',
    { path: '/booking/1', method: 'HEAD' },
    withStatus('200 OK', 'content-length: 2'),
  ],
  ['of status 204', { path: '/booking/1' }, withStatus('204 No Content')],
  ['of status 304', { path: '/booking/1' }, withStatus('304 Not Modified', 'etag: "1"')],
  [
    'behind three interim responses',
    { path: '/booking/1' },
    (request) => INTERIM.repeat(3) + getRawHead(request, 'content-length: 2'),
  ],
  ['of a stream without a length', STREAM, withStatus('200 OK', 'connection: close')],
  ['of a stream in chunks', STREAM, withStatus('200 OK', 'transfer-encoding: chunked')],
];
const ENDS: [string, RawEnd][] = [
  ['a FIN', FIN],
  ['a reset', RESET],
];

/** Starts a host in front of endpoints that give each request, but health checks, the answer of `plan`. */
async function startDeployment(plan: { answer: RawAnswer }): Promise<GatewayDeployment> {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  for (const service of ['desk', 'llm']) {
    const endpoint = RawEndpoint.create((request) =>
      request.target === '/health'
        ? ['HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n']
        : plan.answer(request),
    );
    deployment.register(service, `e-${service}`, await startStandIn(endpoint));
  }
  await deployment.addHost();
  await deployment.waitReady(2);
  return deployment;
}

// Guards against answers that look complete although their endpoint stopped within their head.
describe.each(HEADS)('a head %s', (_name, request, getHead) => {
  it.each(ENDS)('that %s cuts anywhere is no success', async (_end, end) => {
    const plan: { answer: RawAnswer } = { answer: () => [] };
    const deployment = await startDeployment(plan);
    const length = getHead({ method: '', target: '', headers: {}, arrivedAt: 0 }).length;
    for (let cut = 1; cut < length; cut += 3) {
      plan.answer = (received) => [getHead(received).slice(0, cut), end];
      const answer = await deployment.send(request);
      expect([cut, answer.status, answer.error === undefined]).toEqual([
        cut,
        expect.toSatisfy((status: number) => status === 0 || status >= 500),
        answer.status !== 0,
      ]);
    }
  });
});

// Guards against a stream that looks complete although its endpoint stopped right behind the head.
it('a stream whose endpoint closes right behind the head is no success', async () => {
  const deployment = await startDeployment({ answer: (received) => [getRawHead(received), FIN] });
  const answer = await deployment.send(STREAM);
  expect(answer.status === 200 && answer.error === undefined).toBe(false);
});
