import { expect, it } from 'vitest';
import { sendRequest } from '../helpers/httpRequest.ts';
import { useEntryHost } from '../helpers/entryHostFixture.ts';
import { waitUntil } from '../support.ts';

const getFixture = useEntryHost();

/** Returns the value of a series at /metrics; NaN when it is missing. */
async function getValue(series: string): Promise<number> {
  const { operatorAddress: address } = getFixture();
  const { body } = await sendRequest({ address, method: 'GET', path: '/metrics' });
  const line = body.split('\n').find((text) => text.startsWith(`${series} `));
  return Number(line?.slice(series.length));
}

// Guards against a metric that is declared and documented but never recorded.
it.each([
  ['ordinary', true],
  ['ordinary', false],
  ['urgent', true],
  ['urgent', false],
] as const)('records the time to the first token (%s, stream %s)', async (kind, stream) => {
  const series = `fireflywick_first_token_ms_count{firm="demo",kind="${kind}"}`;
  const before = (await getValue(series)) || 0;
  const { status } = await getFixture().sendAuthorized({
    headers: kind === 'urgent' ? { 'x-request-kind': kind } : {},
    body: JSON.stringify({ model: 'order-status', prompt: 'x', max_tokens: 3, stream }),
  });
  expect(status).toBe(200);
  expect(await getValue(series)).toBe(before + 1);
});

it('reports CPU time, memory and event loop lag of the process', async () => {
  await waitUntil(async () => (await getValue('fireflywick_event_loop_lag_ms_count')) > 0);
  expect(await getValue('process_cpu_seconds_total')).toBeGreaterThan(0);
  expect(await getValue('process_resident_memory_bytes')).toBeGreaterThan(1_000_000);
});
