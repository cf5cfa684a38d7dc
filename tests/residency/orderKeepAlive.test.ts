import { describe, expect, it } from 'vitest';
import { ORDER_KEEP_ALIVE_INTERVAL_MS } from '../../src/residency/constants.ts';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';
import type { EndpointNotice } from '../../src/notices/types.ts';
import { newNotice } from '../helpers/notices.ts';

const ENGINE = { service: 'llm', models: ['base'] };

/** Returns the engines that are called over their order connections in the next `intervals`. */
function getCalled(host: DirectoryHost, intervals = 1): string[] {
  host.advance(intervals * ORDER_KEEP_ALIVE_INTERVAL_MS);
  return host.takeEffects('checkOrderConnection').map(({ engine }) => engine);
}

// Guards against owners that can order an engine no more once new connections to it are refused.
describe('the order connections of an owner', () => {
  it('are opened at once and used at an even rate', () => {
    const host = DirectoryHost.create().configure({ endpoints: [ENGINE] });
    const endpoint = newEndpoint({ id: 'e1', ...ENGINE });
    const change = newDirectoryChange('e1', 30, { type: 'endpoint', endpoint });
    host.answerDirectoryCall('endpoints', [change], 30);
    expect(host.takeEffects('checkOrderConnection')).toMatchObject([{ engine: 'e1' }]);
    expect(getCalled(host, 2)).toEqual(['e0', 'e1', 'e0', 'e1']);
  });

  it.each<[string, Partial<EndpointNotice>]>([
    ['names a limit', { limit: { type: 'rate', perS: 1 } }],
    ['is brittle', { brittle: { type: 'brittle', maxRefusalsPerS: 2 } }],
    ['asked for a pause', { pause: { type: 'pause', ms: 9_000 } }],
    ['leaves', { leaving: { type: 'leaving' } }],
  ])('are not used where the engine %s', (_name, notice) => {
    const host = DirectoryHost.create().configure({ endpoints: [ENGINE] });
    const event = { type: 'noticeRead' as const, endpoint: 'e0', startedAt: 1, sentAt: host.now };
    host.dispatch({ ...event, notice: newNotice(notice) }).takeAllEffects();
    expect(getCalled(host)).toEqual([]);
  });
});
