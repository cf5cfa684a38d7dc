import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  ChatBody,
  CompletionBody,
  parseCompletionRequest,
} from '../../src/callers/completionRequest.ts';
import { parseRequestHeaders } from '../../src/callers/requestHeaders.ts';
import { parseServiceTarget } from '../../src/callers/serviceTarget.ts';
import { parseIntent } from '../../src/configuration/intent.ts';
import { Message } from '../../src/core/messages.ts';
import { decodeFrameBody, encodeFrame, FrameReader } from '../../src/peers/frames.ts';
import { ENTRY_SETTINGS } from '../../src/settings/definitions.ts';
import { describeSettingProblems, parseEntrySettings } from '../../src/settings/parse.ts';
import { getEnvironmentVariable } from '../../src/settings/types.ts';

const RUNS = { seed: 7, numRuns: 300 };
const LIMITS = { defaultRequestMs: 60_000, maxRequestMs: 120_000 };
const BODY = { model: 'order-status@v1', prompt: 'x', max_tokens: 4, stream: true };
const CHAT = { model: 'order-status', messages: [{ role: 'user', content: 'x' }], user: 'u' };
const INTENT = {
  adapters: [
    { name: 'a', firm: 'f', model: 'm', versions: { v1: { source: 's' } }, inForce: 'v1' },
  ],
  services: [{ name: 's', endpoints: [], repeatable: [{ method: 'GET', path: '/*' }] }],
  shares: [{ firm: 'f', share: 0.5 }],
};

/** Returns an arbitrary for `value` with one part replaced by another JSON value. */
function newMutation(value: unknown): fc.Arbitrary<unknown> {
  const other = fc.oneof(fc.jsonValue(), fc.constantFrom('', -1, 1e300, null, '__proto__'));
  if (typeof value !== 'object' || value === null) return other;
  const entries = Object.entries(value);
  const inner = fc.nat(Math.max(0, entries.length - 1)).chain((index) => {
    const [name = 'x', part] = entries[index] ?? [];
    const change = (changed: unknown): unknown =>
      Array.isArray(value)
        ? value.map((item: unknown, i) => (i === index ? changed : item))
        : { ...value, [name]: changed };
    return newMutation(part).map(change);
  });
  const extra = fc.tuple(fc.string(), other).map(([name, part]) => ({ ...value, [name]: part }));
  return fc.oneof({ weight: 4, arbitrary: inner }, { weight: 1, arbitrary: extra }, other);
}

function newText(value: unknown): fc.Arbitrary<string> {
  const json = newMutation(value).map((changed) => JSON.stringify(changed));
  const truncated = fc
    .tuple(json, fc.nat())
    .map(([text, at]) => text.slice(0, at % (text.length + 1)));
  return fc.oneof({ weight: 3, arbitrary: json }, truncated, fc.string({ unit: 'binary' }));
}

describe('random and mutated input', () => {
  it.each([
    ['completions', CompletionBody, BODY],
    ['chat completions', ChatBody, CHAT],
  ] as const)('is parsed or refused by field as a body of %s', (_name, schema, example) => {
    fc.assert(
      fc.property(newText(example), (text) => {
        const parsed = parseCompletionRequest(Buffer.from(text), schema);
        if (parsed.err) {
          expect(parsed.val.kind).toBe('bad_request');
          expect(parsed.val.message).toMatch(/^(the body|field ").{10,}/);
        } else {
          expect(parsed.val.adapter).not.toBe('');
          expect(parsed.val.maxTokens).toBeGreaterThanOrEqual(1);
        }
      }),
      RUNS,
    );
  });

  // JSON.parse accepts any depth and JSON.stringify does not, so such a body caused an `internal` error.
  it.each(['prompt', 'user', 'stream_options', 'tools'])(
    'is refused if %s is nested too deeply',
    (field) => {
      const deep = '['.repeat(200_000) + ']'.repeat(200_000);
      const text = `{"model":"a","prompt":"x","${field}":${deep}}`;
      const parsed = parseCompletionRequest(Buffer.from(text), CompletionBody);
      expect(parsed.err && parsed.val).toMatchObject({
        kind: 'bad_request',
        message: 'the body is nested more than 64 levels deep',
      });
    },
  );

  it('is parsed or refused by header as request headers', () => {
    const value = fc.oneof(fc.string(), fc.double().map(String), fc.constantFrom('0x10', '1e3'));
    fc.assert(
      fc.property(value, value, (kind, deadline) => {
        const headers = { 'x-request-kind': kind, 'x-request-deadline-ms': deadline };
        const parsed = parseRequestHeaders(headers, LIMITS as never, 0);
        if (parsed.err) expect(parsed.val.message).toMatch(/^header X-Request-(Kind|Deadline-Ms) /);
        else expect(parsed.val.remainingMs).toBeLessThanOrEqual(LIMITS.maxRequestMs);
      }),
      RUNS,
    );
  });

  it.each(['0x10', '1e3', ' 5', '', 'Infinity', '5ms', '--5'])('%j is no deadline', (deadline) => {
    const parsed = parseRequestHeaders({ 'x-request-deadline-ms': deadline }, LIMITS as never, 0);
    expect(parsed.err && parsed.val.param).toBe('X-Request-Deadline-Ms');
  });

  // A path must not lead out of the service even if the server decodes it.
  it('never leads out of the service as the path of a service', () => {
    const part = fc.constantFrom('..', '.', '/', '%2e', '%2F', '%5c', '\\', ';', '%3B', 'a', '?');
    const path = fc.array(part, { maxLength: 8 }).map((parts) => `/services/s/${parts.join('')}`);
    fc.assert(
      fc.property(fc.oneof(path, fc.string()), (target) => {
        const parsed = parseServiceTarget(target);
        if (parsed.err) {
          expect(parsed.val.message).toContain('"');
        } else {
          const { path: parsedPath, query } = parsed.val;
          expect(target.endsWith(parsedPath + query) || parsedPath === '/').toBe(true);
          const url = new URL(`http://x/base${parsedPath.replace(/%2f|%5c/gi, '/')}`);
          expect(url.pathname).toMatch(/^\/base/);
        }
      }),
      { ...RUNS, numRuns: 2_000 },
    );
  });

  it('is parsed or refused by path as an intent', () => {
    fc.assert(
      fc.property(newText(INTENT), (text) => {
        const parsed = parseIntent(text);
        if (parsed.ok) return;
        expect(parsed.val.length).toBeGreaterThan(0);
        for (const problem of parsed.val) expect(problem).toMatch(/\S+: .+|not valid YAML or JSON/);
      }),
      RUNS,
    );
  });

  it.each([
    ['an alias bomb', newAliasBomb()],
    ['deep nesting', '['.repeat(20_000)],
    ['a tag that does not exist', 'adapters: !!js/function "x"'],
    ['a merge of __proto__', '{"__proto__": {"adapters": []}, "x": 1}'],
  ])('is refused as an intent with %s', (_name, text) => {
    expect(parseIntent(text).err).toBe(true);
  });

  it('is refused by name as settings', () => {
    const names = ENTRY_SETTINGS.map(({ name }) => name);
    const value = fc.oneof(fc.string(), fc.constantFrom('0', '-1', '1e99', '127.0.0.1:0', '[{}]'));
    const environment = fc.dictionary(fc.constantFrom(...names), value);
    fc.assert(
      fc.property(environment, fc.array(fc.string(), { maxLength: 3 }), (values, argv) => {
        const entries = Object.entries(values).map(([name, text]) => [
          getEnvironmentVariable(name),
          text,
        ]);
        const parsed = parseEntrySettings(
          argv,
          Object.fromEntries(entries) as Record<string, string>,
        );
        // Parsing always fails, because required settings are missing.
        expect(parsed.err && describeSettingProblems(parsed.val)).toMatch(
          /--|argument|FIREFLYWICK/,
        );
      }),
      RUNS,
    );
  });

  it('is split, decoded or dropped as peer frames', () => {
    const frame = fc
      .tuple(fc.nat(3), fc.jsonValue())
      .map(([kind, value]) => encodeFrame(kind, value));
    const bytes = fc.oneof(
      frame,
      fc.uint8Array({ maxLength: 64 }).map((array) => Buffer.from(array)),
    );
    fc.assert(
      fc.property(fc.array(bytes, { maxLength: 6 }), fc.nat(20), (parts, cut) => {
        const all = Buffer.concat(parts);
        const reader = FrameReader.create();
        for (let at = 0; at < all.length; at += cut + 1) {
          const bodies = reader.push(all.subarray(at, at + cut + 1), 4_096);
          if (bodies === undefined) return;
          for (const body of bodies) Message.safeParse(decodeFrameBody(body)?.content);
        }
      }),
      { ...RUNS, numRuns: 1_000 },
    );
  });

  it.each([
    ['an array of 2^32 - 1 items', '9affffffff'],
    ['a map of 2^32 - 1 entries', 'bafffffffff5'],
    ['a text of 2^31 bytes', '7a80000000'],
    ['nested arrays', '81'.repeat(100_000)],
    ['a record of another stream', 'd8e0'],
  ])('is dropped when a frame claims %s', (_name, hex) => {
    expect(decodeFrameBody(Buffer.from(hex, 'hex'))).toBeUndefined();
  });
});

function newAliasBomb(): string {
  const lines = ['a0: &a0 [x, x, x, x, x, x, x, x, x, x]'];
  for (let i = 1; i < 12; i++) {
    lines.push(`a${i}: &a${i} [${Array.from({ length: 10 }, () => `*a${i - 1}`).join(', ')}]`);
  }
  return lines.join('\n');
}
