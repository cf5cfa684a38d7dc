import OpenAI from 'openai';
import { describe, expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import { useEntryHost } from '../helpers/entryHostFixture.ts';
import { waitUntil } from '../support.ts';

const MODEL = 'order-status@v2';
const MESSAGES = [{ role: 'user' as const, content: 'where is order 7' }];
const MANY_TOKENS = 100_000;

const getFixture = useEntryHost({ FIREFLYWICK_MAX_REQUESTS_PER_CALLER: '3' });

function newClient(apiKey = 'demo-caller') {
  return new OpenAI({ baseURL: `http://${getFixture().address}/v1`, apiKey, maxRetries: 0 });
}

/** Returns the states of the requests that the engines ran in this test. */
function getRunStates(): string[] {
  return getFixture().engines.flatMap(({ records }) => records.runs.map(({ state }) => state));
}

// Guards against responses that the official OpenAI client can't parse or misreads.
describe('the official OpenAI client', () => {
  it('lists only the models of its firm', async () => {
    const ids: string[] = [];
    for await (const { id } of newClient().models.list()) ids.push(id);
    expect(ids).toHaveLength(6);
    expect(ids).toContain(MODEL);
    const otherFirm = await newClient('rival-caller').models.list();
    expect(otherFirm.data).toEqual([]);
  });

  it.each([
    ['order-status', 'order-status', 'v2'],
    ['order-status@v1', 'order-status', 'v1'],
    ['label-translation@v2', 'label-translation', 'v2'],
  ])('gets the complete response of %s with its headers', async (model, adapter, version) => {
    const body = { model, prompt: 'where is order 7', max_tokens: 12 };
    const expected = getExpectedText({ ...body, model: `${adapter}@${version}`, priority: 0 });
    const whole = await newClient().completions.create(body).withResponse();
    expect(whole.data.choices[0]?.text).toBe(expected);
    expect(whole.data.model).toBe(`${adapter}@${version}`);
    expect(whole.response.headers.get('x-adapter')).toBe(adapter);
    expect(whole.response.headers.get('x-adapter-version')).toBe(version);
    expect(whole.response.headers.get('x-request-id')).toMatch(/^[0-9a-f-]{36}$/);
    const stream = await newClient()
      .completions.create({ ...body, stream: true })
      .withResponse();
    let text = '';
    for await (const chunk of stream.data) text += chunk.choices[0]?.text ?? '';
    expect(text).toBe(expected);
    expect(stream.response.headers.get('x-adapter-version')).toBe(version);
  });

  it('gets chat completions as one body and as a stream with usage', async () => {
    const body = { model: MODEL, messages: MESSAGES, max_tokens: 9 };
    const expected = getExpectedText({ ...body, priority: 0 });
    const whole = await newClient().chat.completions.create(body);
    expect(whole.choices[0]?.message.content).toBe(expected);
    const options = { stream: true, stream_options: { include_usage: true } } as const;
    const stream = await newClient().chat.completions.create({ ...body, ...options });
    let text = '';
    let tokens: number | undefined;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      tokens = chunk.usage?.completion_tokens;
    }
    expect([text, tokens]).toEqual([expected, 9]);
  });

  it.each([
    ['unknown adapter', 'nothing', OpenAI.NotFoundError, /adapter "nothing"/],
    ['unknown version', 'order-status@v9', OpenAI.NotFoundError, /"v9"/],
    ['malformed model', 'a@b@c', OpenAI.BadRequestError, /field "model" is not valid/],
  ])('throws the matching error class for an %s', async (_name, model, type, message) => {
    const request = newClient().chat.completions.create({ model, messages: MESSAGES });
    const error: unknown = await request.catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(type);
    expect(error).toMatchObject({ message: expect.stringMatching(message) as string });
  });

  it('throws AuthenticationError for a wrong key', async () => {
    const request = newClient('wrong').models.list();
    await expect(request).rejects.toBeInstanceOf(OpenAI.AuthenticationError);
    await expect(newClient('wrong').models.list()).rejects.toThrow(/no valid caller key/);
  });

  it('throws RateLimitError above the limit of concurrent requests per caller', async () => {
    const abort = new AbortController();
    const body = { model: MODEL, prompt: 'x', max_tokens: MANY_TOKENS, stream: true } as const;
    const streams = await Promise.all(
      [1, 2, 3].map(() => newClient().completions.create(body, { signal: abort.signal })),
    );
    const request = newClient().completions.create({ model: MODEL, prompt: 'x' });
    const error: unknown = await request.catch((reason: unknown) => reason);
    expect(error).toBeInstanceOf(OpenAI.RateLimitError);
    expect(error).toMatchObject({
      message: expect.stringMatching(/3 requests in flight, at most 3/) as string,
    });
    expect((error as InstanceType<typeof OpenAI.RateLimitError>).headers.get('retry-after')).toBe(
      '1',
    );
    abort.abort();
    expect(streams).toHaveLength(3);
    await waitUntil(() => getFixture().host.state.requests.inFlight.size === 0);
  });

  // Guards against an engine that keeps generating after its caller has disconnected.
  it('cancels the request on the engine when a stream is aborted', async () => {
    const body = {
      model: MODEL,
      messages: MESSAGES,
      max_tokens: MANY_TOKENS,
      stream: true,
    } as const;
    const stream = await newClient().chat.completions.create(body);
    for await (const chunk of stream) {
      expect(chunk.model).toBe(MODEL);
      break;
    }
    stream.controller.abort();
    await waitUntil(() => {
      for (const engine of getFixture().engines) engine.updateLoadReport();
      return getRunStates().join() === 'cancelled';
    });
    await waitUntil(
      () => getFixture().host.completionExchanges.size + getFixture().host.attempts.size === 0,
    );
  });
});
