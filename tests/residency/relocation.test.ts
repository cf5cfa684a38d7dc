import { describe, expect, it } from 'vitest';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';
import { newNotice } from '../helpers/notices.ts';

const ENGINES = ['e0', 'e1', 'e2'];

/** An owner of three engines, the first of which holds the adapters `held`. */
function createOwner(held: string[]): DirectoryHost {
  const host = DirectoryHost.create().configure({
    endpoints: ENGINES.map((id) => ({ id, service: 'llm', models: ['base'] })),
  });
  for (const engine of ENGINES) {
    const adapters = engine === 'e0' ? held : [];
    host.dispatch({
      type: 'adapterReportRead',
      engine,
      reason: '',
      report: {
        startedAt: 1,
        sequence: 0,
        models: ['base'],
        adapters: adapters.map((adapter) => ({ adapter, version: 1 })),
        loading: [],
      },
    });
  }
  return host;
}

/** Lets requests for an adapter run on the first engine. */
function use(host: DirectoryHost, adapter: string, requests: number): void {
  for (let index = 0; index < requests; index++) {
    const request = `${adapter} ${index}`;
    host.receiveMessage('h1', {
      type: 'placeAsked',
      request,
      ask: 1,
      engine: 'e0',
      adapter,
      version: 0,
      promptTokens: 10,
      outputTokens: 10,
      remainingMs: 5_000,
      goalMs: 1_000,
    });
    const released = { type: 'placeReleased', request, engine: 'e0', result: 'ended' } as const;
    host.receiveMessage('h1', released);
  }
}

function getLoads(host: DirectoryHost): { engine: string; adapter: string }[] {
  return host
    .takeEffects('sendAdapterOrder')
    .filter(({ order }) => order.type === 'load')
    .map(({ engine, order }) => ({ engine, adapter: order.adapter }));
}

const LEAVES: [string, (host: DirectoryHost) => void][] = [
  [
    'says so in an answer',
    (host) => {
      const notice = newNotice({ leaving: { type: 'leaving' } });
      const sentAt = host.now;
      host.dispatch({ type: 'noticeRead', endpoint: 'e0', startedAt: 1, sentAt, notice });
    },
  ],
  [
    'says so in the directory',
    (host) => {
      const endpoint = newEndpoint({ service: 'llm', models: ['base'], isLeaving: true });
      const change = newDirectoryChange('e0', 50, { type: 'endpoint', endpoint });
      host.answerDirectoryCall('endpoints', [change], 50);
    },
  ],
];

describe('an adapter in demand is loaded elsewhere before it is missed when its engine', () => {
  it.each(LEAVES)('%s', (_name, leave) => {
    const host = createOwner(['base/a1', 'base/a2']);
    use(host, 'base/a1', 3);
    host.takeAllEffects();
    leave(host);
    const loads = getLoads(host);
    expect(loads.map(({ adapter }) => adapter)).toEqual(['base/a1']);
    expect(['e1', 'e2']).toContain(loads[0]?.engine);
    leave(host);
    expect(getLoads(host)).toEqual([]);
  });
});

it('an adapter that another engine holds is not loaded again', () => {
  const host = createOwner(['base/a1']);
  use(host, 'base/a1', 3);
  const adapters: [string, number][] = [['base/a1', 1]];
  const status = { engine: 'e9', epoch: 1, backlogMs: 0, running: 0, models: ['base'] };
  const engines = [{ ...status, isLoadingModel: false, openSlots: 1, adapters }];
  const endpoint = newEndpoint({ id: 'e9', service: 'llm', models: ['base'], zone: 'z9' });
  const change = newDirectoryChange('e9', 40, { type: 'endpoint', endpoint });
  host.answerDirectoryCall('endpoints', [change], 40);
  host.state.residency.owned.delete('e9');
  host.receiveMessage('h1', { type: 'enginesTold', engines });
  host.takeAllEffects();
  LEAVES[0]?.[1](host);
  expect(getLoads(host)).toEqual([]);
});
