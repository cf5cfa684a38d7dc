import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';
import { expectErrorResponse, useEntryHost } from '../helpers/entryHostFixture.ts';

const getFixture = useEntryHost({
  FIREFLYWICK_BODY_LIMIT: '2KiB',
  FIREFLYWICK_HEADER_LIMIT: '4KiB',
  FIREFLYWICK_SLOW_SENDER_LIMIT: '300ms',
});
const BODY = { model: 'order-status', prompt: 'x', max_tokens: 4 };
const CHAT = '/v1/chat/completions';
const HEAD = 'HTTP/1.1\r\nhost: x\r\nauthorization: Bearer demo-caller\r\n';

/** Writes `text` to a new connection and returns everything received until it closes. */
function sendRaw(text: string): Promise<string> {
  const [host, port] = getFixture().address.split(':');
  return new Promise((resolve, reject) => {
    let received = '';
    const socket = connect(Number(port), host, () => socket.write(text));
    socket.setEncoding('utf8');
    socket.on('data', (data: string) => (received += data));
    socket.on('error', reject);
    socket.on('close', () => resolve(received));
  });
}

/** Returns the status codes of all responses in the text received on a connection. */
function getStatuses(text: string): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status);
}

describe('an invalid request', () => {
  it.each([
    ['malformed JSON', { body: '{"model":' }, 'bad_request', /body is not valid JSON/],
    ['no body', { body: '' }, 'bad_request', /body is not valid JSON/],
    ['a body that is not an object', { body: '[]' }, 'bad_request', /the body is not valid/],
    ['a number as model', newBody({ model: 7 }), 'bad_request', /field "model"/],
    ['a number as prompt', newBody({ prompt: 7 }), 'bad_request', /field "prompt"/],
    ['max_tokens of 0', newBody({ max_tokens: 0 }), 'bad_request', /field "max_tokens"/],
    ['text as stream', newBody({ stream: 'yes' }), 'bad_request', /field "stream"/],
    ['no messages', { path: CHAT, ...newBody({}) }, 'bad_request', /field "messages"/],
    [
      'a message without role',
      { path: CHAT, ...newBody({ messages: [{ content: 'x' }] }) },
      'bad_request',
      /field "messages.0.role"/,
    ],
    ['a large body', { body: 'x'.repeat(4_000_000) }, 'body_too_large', /larger than 2048 bytes/],
    ['large headers', newHeader('x-padding', 'x'.repeat(8_000)), 'headers_too_large', /4096 bytes/],
    ['an unknown kind', newHeader('x-request-kind', 'fast'), 'bad_request', /X-Request-Kind/],
    [
      'a deadline that is not a number',
      newHeader('x-request-deadline-ms', 'soon'),
      'bad_request',
      /X-Request-Deadline-Ms is "soon"/,
    ],
    [
      'a deadline in the past',
      newHeader('x-request-deadline-ms', '-5'),
      'deadline_passed',
      /deadline had passed/,
    ],
    [
      'a deadline that is too short',
      { ...newBody({ max_tokens: 100_000 }), headers: { 'x-request-deadline-ms': '300' } },
      'deadline_exceeded',
      /not answered by its deadline/,
    ],
    ['a wrong key', newHeader('authorization', 'Bearer wrong'), 'unauthorized', /caller key/],
    ['an operator key', newHeader('authorization', 'Bearer demo-operator'), 'unauthorized', /key/],
    ['no key', newHeader('authorization', ''), 'unauthorized', /Authorization/],
    ['a path that does not exist', { path: '/v1/nothing' }, 'not_found', /\/v1\/nothing/],
  ] as const)('with %s is rejected with the reason', async (_name, sent, kind, message) => {
    const received = await getFixture().sendAuthorized({ body: JSON.stringify(BODY), ...sent });
    expectErrorResponse(received, kind, message);
    expect(getFixture().host.completionExchanges.size).toBe(0);
  });

  it.each([
    ['a slow body', `POST /v1/completions ${HEAD}content-length: 90\r\n\r\n{`, '408'],
    ['slow headers', `POST /v1/completions ${HEAD}`, '408'],
    ['no HTTP', 'hello there\r\n\r\n', '400'],
    ['two lengths', `GET /v1/models ${HEAD}content-length: 1\r\ncontent-length: 2\r\n\r\n`, '400'],
  ])(
    'with %s gets an error response, and its connection is closed',
    async (_name, text, status) => {
      const received = await sendRaw(text);
      expect(getStatuses(received)).toEqual([status]);
      expect(received).toMatch(/"message":"[^"]{20,}/);
      expect(received.toLowerCase()).toContain('connection: close');
    },
  );
});

describe('a connection', () => {
  const get = `GET /v1/models ${HEAD}`;
  const post = (body: string) =>
    `POST /v1/completions ${HEAD}content-length: ${body.length}\r\n\r\n${body}`;

  // Guards against an error that leaves the parser at a wrong position of the connection, so that
  // the next request gets the response to another one.
  it('answers pipelined requests in order, also after an error', async () => {
    const text = [
      post('{'),
      `${get}\r\n`,
      post(JSON.stringify(BODY)),
      `GET /nothing ${HEAD}\r\n`,
      `${get}connection: close\r\n\r\n`,
    ].join('');
    expect(getStatuses(await sendRaw(text))).toEqual(['400', '200', '200', '404', '200']);
  });

  // Guards against an error response that is written into the middle of a stream.
  it('ends the stream in flight before the error response to a malformed next request', async () => {
    const stream = post(JSON.stringify({ ...BODY, max_tokens: 50, stream: true }));
    const received = await sendRaw(`${stream}no HTTP\r\n\r\n`);
    const [answer = '', rest = ''] = received.split('data: [DONE]\n\n');
    expect(answer.match(/data: /g)).toHaveLength(50);
    expect(getStatuses(received)).toEqual(['200', '400']);
    expect(rest).toContain('not valid HTTP');
  });
});

function newBody(fields: Record<string, unknown>) {
  return { body: JSON.stringify({ ...BODY, ...fields }) };
}

function newHeader(name: string, value: string) {
  return { headers: { [name]: value } };
}
