import { connect } from 'node:net';
import OpenAI from 'openai';
import { describe, expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { getCallerKey } from '../helpers/callers.ts';
import { Deployment } from '../helpers/deployment.ts';
import type { HostProcess } from '../helpers/hostProcess.ts';
import { getFirmAdapters, SINGLE_HOST } from '../helpers/layouts.ts';
import { sendRequest } from '../helpers/httpRequest.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { findViolations } from './checker.ts';

const [ADAPTER = ''] = getFirmAdapters('atlas');

async function startHost(settings: Record<string, string> = {}) {
  const deployment = await Deployment.start(SINGLE_HOST, settings);
  const [host] = deployment.runningHosts;
  if (host === undefined) throw new Error('no host of the deployment is running');
  return { deployment, host };
}

function newBody(model: string, extra: Record<string, unknown> = {}): string {
  return JSON.stringify({ model, prompt: 'green tea', max_tokens: 4, ...extra });
}

function post(host: HostProcess, body: string, headers: Record<string, string> = {}) {
  return sendRequest({
    address: host.callerAddress,
    method: 'POST',
    path: '/v1/completions',
    headers: { authorization: `Bearer ${getCallerKey('atlas')}`, ...headers },
    body,
  });
}

/** Sends the head and part of the body of a request; resolves with the response once the host closes. */
function sendSlowly(address: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect({ host, port: Number(port) });
    cleanUpAfterTest(() => Promise.resolve(void socket.destroy()));
    socket.write(
      'POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n' +
        `authorization: Bearer ${getCallerKey('atlas')}\r\n\r\n{"model":`,
    );
    socket.on('data', (data) => (answer += data.toString()));
    socket.on('close', () => resolve(answer));
  });
}

describe('the official OpenAI client', () => {
  it('gets models, complete responses and streams', async () => {
    const { deployment, host } = await startHost();
    const client = new OpenAI({
      baseURL: `http://${host.callerAddress}/v1`,
      apiKey: getCallerKey('atlas'),
      maxRetries: 0,
    });
    const models = await client.models.list();
    const model = `${ADAPTER}@v2`;
    expect(models.data.map(({ id }) => id)).toContain(model);
    const messages = [{ role: 'user' as const, content: 'translate the label' }];
    const body = { model: ADAPTER, messages, max_tokens: 12 };
    const expected = getExpectedText({ ...body, model, priority: 0 });
    const completion = await client.chat.completions.create(body);
    expect(completion.choices[0]?.message.content).toBe(expected);
    let text = '';
    for await (const chunk of await client.chat.completions.create({ ...body, stream: true })) {
      expect(chunk.model).toBe(model);
      text += chunk.choices[0]?.delta.content ?? '';
    }
    expect(text).toBe(expected);
    await expect(
      client.chat.completions.create({ ...body, model: 'no-such' }),
    ).rejects.toMatchObject({ status: 404, code: 'unknown_adapter' });
    expect(findViolations(deployment)).toEqual([]);
  });
});

describe('limits', () => {
  // Guards against refusals that run the request, report the wrong kind or block other callers.
  it('refuses requests beyond the limits as not run', async () => {
    const { deployment, host } = await startHost({
      'slow-sender-limit': '300ms',
      'body-limit': '4KiB',
    });
    const model = `${ADAPTER}@v2`;
    const cases = [
      { kind: 'body_too_large', answer: post(host, newBody(model, { prompt: 'x'.repeat(8_000) })) },
      { kind: 'unknown_adapter', answer: post(host, newBody('no-such')) },
      { kind: 'unknown_version', answer: post(host, newBody(`${ADAPTER}@v9`)) },
      { kind: 'bad_request', answer: post(host, '{"model":') },
      {
        kind: 'deadline_passed',
        answer: post(host, newBody(model), { 'x-request-deadline-ms': '0' }),
      },
      { kind: 'unauthorized', answer: post(host, newBody(model), { authorization: 'Bearer no' }) },
      { kind: 'headers_too_large', answer: post(host, newBody(model), { x: 'x'.repeat(20_000) }) },
    ];
    for (const { kind, answer } of cases) {
      const { body } = await answer;
      expect(JSON.parse(body)).toMatchObject({ error: { kind, outcome: 'not_run' } });
    }
    const slowResponse = sendSlowly(host.callerAddress);
    expect((await post(host, newBody(model))).status).toBe(200);
    expect(await slowResponse).toContain('slow_sender');
    const runs = deployment.platform.engines.flatMap(({ standIn }) => standIn.records.runs);
    expect(runs).toHaveLength(1);
  });
});

describe('a caller that disconnects', () => {
  it.each([{ isStream: true }, { isStream: false }])(
    'cancels its request on the engine (stream: $isStream)',
    async ({ isStream }) => {
      const { deployment, host } = await startHost();
      const { engines } = deployment.platform;
      const getRuns = () => engines.flatMap(({ standIn }) => standIn.records.runs);
      const abort = new AbortController();
      const answer = deployment.callers.sendCompletion({
        host,
        adapter: ADAPTER,
        prompt: 'long',
        maxTokens: 5_000,
        isStream,
        signal: abort.signal,
      });
      await waitUntil(() => getRuns().some(({ tokens }) => tokens > 3));
      abort.abort();
      await answer;
      await waitUntil(() => getRuns().every(({ state }) => state === 'cancelled'));
      expect(getRuns()).toHaveLength(1);
    },
  );
});
