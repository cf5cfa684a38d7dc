import { Writable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { Logger } from '../../src/observe/logger.ts';
import { Metrics } from '../../src/observe/metrics.ts';
import {
  formatTraceparent,
  newTraceContext,
  parseTraceparent,
} from '../../src/observe/traceparent.ts';

const TRACE = '0af7651916cd43dd8448eb211c80319c';
const SPAN = 'b7ad6b7169203331';

describe('metrics', () => {
  it('renders counters, gauges and summaries with sum and count', () => {
    const metrics = Metrics.create();
    const labels = { firm: 'atlas' };
    metrics.record({ type: 'count', metric: 'fireflywick_attempts_total', labels, by: 2 });
    metrics.record({ type: 'count', metric: 'fireflywick_attempts_total', labels, by: NaN });
    metrics.record({
      type: 'gauge',
      metric: 'fireflywick_configuration_revision',
      labels: {},
      value: 7,
    });
    for (let value = 1; value <= 100; value++) {
      metrics.record({ type: 'observe', metric: 'fireflywick_load_stall_ms', labels, value });
    }
    const text = metrics.render();
    expect(text).toContain('# TYPE fireflywick_load_stall_ms summary\n');
    expect(text).toContain('fireflywick_attempts_total{firm="atlas"} 2\n');
    expect(text).toContain('fireflywick_configuration_revision 7\n');
    expect(text).toMatch(/load_stall_ms\{firm="atlas",quantile="0.5"\} 5[0-9.]+\n/);
    expect(text).toContain('fireflywick_load_stall_ms_sum{firm="atlas"} 5050\n');
    expect(text).toContain('fireflywick_load_stall_ms_count{firm="atlas"} 100\n');
  });

  // Guards against a label from a request that makes the whole metrics page invalid.
  it.each([
    [{ 'a b': 'x' }, '{a_b="x"}'],
    [{ '1': 'x' }, '{label_1="x"}'],
    [{ quantile: 'x' }, '{label_quantile="x"}'],
    [{ a: 'x"}\ny\\' }, '{a="x\\"}\\ny\\\\"}'],
    [{ 'a-b': '1', 'a.b': '2' }, '{a_b="1"}'],
  ])('keeps the format with labels %j', (labels, expected) => {
    const metrics = Metrics.create();
    metrics.record({ type: 'count', metric: 'fireflywick_attempts_total', labels, by: 1 });
    expect(metrics.render()).toContain(`fireflywick_attempts_total${expected} 1\n`);
  });

  it('bounds the number of label sets', () => {
    const metrics = Metrics.create();
    for (let i = 0; i < 3_000; i++) {
      const labels = { firm: `f${i}` };
      metrics.record({ type: 'count', metric: 'fireflywick_attempts_total', labels, by: 1 });
    }
    expect(metrics.render()).toContain('fireflywick_attempts_total{overflow="true"} 1000\n');
  });
});

describe('logger', () => {
  it('writes JSON lines with request ids, by level, without secrets', () => {
    const lines: string[] = [];
    const stream = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        lines.push(chunk.toString());
        done();
      },
    });
    const logger = Logger.create({ level: 'info', fields: { host: 'h1' }, stream });
    const request = logger.newRequestLogger({ requestId: 'r1', traceId: TRACE });
    request.write('debug', 'not logged');
    request.write('warn', 'refused Bearer abc', {
      authorization: 'abc',
      nested: { url: 'http://u:abc@h/' },
      level: 'faked',
    });
    expect(lines).toHaveLength(1);
    expect(lines[0]).not.toContain('abc');
    expect(JSON.parse(lines[0] ?? '')).toMatchObject({
      host: 'h1',
      level: 'warn',
      message: 'refused Bearer [redacted]',
      requestId: 'r1',
      traceId: TRACE,
    });
  });
});

describe('traceparent', () => {
  it.each([
    [`00-${TRACE}-${SPAN}-01`, true],
    [`01-${TRACE}-${SPAN}-01-more`, true],
    [`00-${TRACE}-${SPAN}-01-more`, false],
    [`ff-${TRACE}-${SPAN}-01`, false],
    [`00-${'0'.repeat(32)}-${SPAN}-01`, false],
    [`00-${TRACE.toUpperCase()}-${SPAN}-01`, false],
    ['', false],
  ])('reads %s: %s', (header, isValid) => {
    expect(parseTraceparent(header)?.traceId).toBe(isValid ? TRACE : undefined);
  });

  it('keeps the trace and makes a new span', () => {
    const parent = { traceId: TRACE, parentId: SPAN, isSampled: true };
    const child = parseTraceparent(formatTraceparent(newTraceContext(parent)));
    expect(child).toMatchObject({ traceId: TRACE, isSampled: true });
    expect(child?.parentId).not.toBe(SPAN);
  });
});
