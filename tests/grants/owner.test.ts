import { describe, expect, it } from 'vitest';
import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { applyChange } from '../../src/configuration/apply.ts';
import { refreshOwnedEngines } from '../../src/grants/owned.ts';
import type { GrantRequest } from '../../src/grants/types.ts';
import { newLinkedHosts } from './linkedHosts.ts';

function newOwner(changes: Change[] = [], slots = 3): State {
  const [state] = newLinkedHosts({ hosts: 1, engines: 1, slots, changes });
  if (state === undefined) throw new Error('newLinkedHosts returned no host');
  return state;
}

function requestGrant(state: State, change: Partial<GrantRequest>, now: number): Effect[] {
  const message: GrantRequest = {
    type: 'grantAsk',
    request: 'r1',
    ask: 1,
    engine: 'e0',
    model: 'a0@v1',
    firm: 'f',
    kind: 'ordinary',
    priority: 5,
    remainingMs: 60_000,
    fingerprint: 'x',
    maxTokens: 8,
    ...change,
  };
  return reduce(state, { type: 'messageReceived', from: 'h9', message }, now);
}

function report(
  state: State,
  now: number,
  bootId: string,
  residents: string[],
  running: Record<string, number> = {},
): Effect[] {
  const one = { bootId, running, waiting: 0, slots: 3, residents };
  return reduce(state, { type: 'engineReported', engine: 'e0', report: one }, now);
}

function getOrders(effects: Effect[]): string[] {
  return effects.flatMap((effect) => {
    if (effect.type !== 'orderEngine') return [];
    const { order } = effect;
    return [`${order.type} ${order.type === 'role' ? order.role : order.model}`];
  });
}

function getMessages(effects: Effect[]): string[] {
  return effects.flatMap((effect) => {
    if (effect.type !== 'sendMessage') return [];
    const { message } = effect;
    return [message.type === 'grantRefused' ? `refused ${message.reason}` : message.type];
  });
}

const LEAVING = {
  ...{ id: 'e0', kind: 'engine', address: '127.0.0.1:9000', zone: 'z' },
  state: 'leaving' as const,
};

const warm: Change = { type: 'putWarm', warm: { adapter: 'a2', pool: 'p', copies: 1 } };

describe('the owner of an engine', () => {
  // A warm intent must survive an engine restart that loses all adapters (F2).
  it('loads a warm adapter, and again after the engine restarted empty', () => {
    const state = newOwner([warm]);
    expect(getOrders(reduce(state, { type: 'tick' }, 1_000))).toEqual(['load a2@v1']);
    const order = { type: 'load' as const, model: 'a2@v1', source: 's' };
    const answered = { engine: 'e0', epoch: 1, order, answer: { type: 'done' as const } };
    reduce(state, { type: 'orderAnswered', ...answered }, 1_250);
    report(state, 5_000, '1', ['a2@v1']);
    expect(getOrders(reduce(state, { type: 'tick' }, 6_000))).toEqual([]);
    expect(getOrders(report(state, 7_000, '2', []))).toEqual(['load a2@v1']);
  });

  it.each([
    { name: 'a warm adapter', changes: [warm], residents: ['a1@v1', 'a2@v1'], unload: 'a1@v1' },
    {
      name: 'the adapter in highest demand',
      changes: [],
      residents: ['a1@v1', 'a0@v1'],
      unload: 'a1@v1',
    },
  ])('keeps $name when it evicts', ({ changes, residents, unload }) => {
    const state = newOwner(changes, 2);
    report(state, 0, '1', residents);
    if (residents.includes('a0@v1')) {
      requestGrant(state, { model: 'a0@v1' }, 2_000);
      const grant = [...(state.grants.owned.get('e0')?.pins.keys() ?? [])][0] ?? '';
      const message = { type: 'grantReleased' as const, request: 'r1', engine: 'e0', grant };
      const released = { ...message, result: 'completed' as const };
      reduce(state, { type: 'messageReceived', from: 'h9', message: released }, 3_000);
    }
    const effects = requestGrant(state, { request: 'r2', model: 'a3@v1', kind: 'urgent' }, 9_000);
    expect(getOrders(effects)).toContain(`unload ${unload}`);
  });

  // An adapter in use must not be evicted (G2), also when there is no grant for the running request
  // or when the grant was released while the engine still reports the request.
  it.each([
    { name: 'without a grant', isGranted: false },
    { name: 'after its grant was released', isGranted: true },
  ])('unloads no adapter that the engine reports as running $name', ({ isGranted }) => {
    const state = newOwner([], 1);
    report(state, 0, '1', ['a0@v1']);
    if (isGranted) requestGrant(state, {}, 2_500);
    report(state, 2_600, '1', ['a0@v1'], { 'a0@v1': 1 });
    const grant = [...(state.grants.owned.get('e0')?.pins.keys() ?? [])][0] ?? '';
    const message = { type: 'grantReleased' as const, request: 'r1', engine: 'e0', grant };
    const released = { ...message, result: 'completed' as const };
    reduce(state, { type: 'messageReceived', from: 'h9', message: released }, 2_700);
    const effects = requestGrant(state, { request: 'r2', model: 'a3@v1', kind: 'urgent' }, 9_000);
    expect(getOrders(effects)).toEqual([]);
    expect(getOrders(report(state, 9_500, '1', ['a0@v1']))).toEqual(['unload a0@v1']);
  });

  // A leaving endpoint must get no new requests (G6), and queued requests must not wait for it.
  it.each([
    {
      name: 'by intent',
      leave: (state: State) => {
        applyChange(state.configuration, { type: 'putLeaving', endpoint: 'e0' });
        return refreshOwnedEngines(state, 20);
      },
    },
    {
      name: 'by the host list',
      leave: (state: State) => [
        ...reduce(state, { type: 'hostListRead', entries: [LEAVING] }, 20),
        ...reduce(state, { type: 'tick' }, 20),
      ],
    },
    {
      name: 'by an announcement of another host',
      leave: (state: State) => {
        const message = { type: 'endpointsLeaving' as const, leaving: ['e0'], live: [] };
        reduce(state, { type: 'messageReceived', from: 'h9', message }, 20);
        return reduce(state, { type: 'tick' }, 20);
      },
    },
  ])('refuses queued and new requests for an engine that leaves $name', ({ leave }) => {
    const state = newOwner([warm]);
    reduce(state, { type: 'tick' }, 0);
    requestGrant(state, {}, 10);
    expect(getMessages(leave(state))).toEqual(['refused leaving']);
    expect(getMessages(requestGrant(state, { request: 'r2' }, 30))).toEqual(['refused leaving']);
    expect(getOrders(reduce(state, { type: 'tick' }, 2_000))).toEqual([]);
  });

  // A grant request that is sent twice must not get a second grant or a second queue entry.
  it('resends the grant when the grant request is repeated', () => {
    const state = newOwner();
    report(state, 0, '1', ['a0@v1']);
    expect(getMessages(requestGrant(state, {}, 10))).toEqual(['grantGiven']);
    expect(getMessages(requestGrant(state, {}, 20))).toEqual(['grantGiven']);
    expect(state.grants.owned.get('e0')?.pins.size).toBe(1);
  });

  it('orders a role change once the engine is idle and refuses requests until it is done', () => {
    const state = newOwner();
    report(state, 0, '1', ['a0@v1']);
    requestGrant(state, {}, 10);
    applyChange(state.configuration, { type: 'putRole', engine: 'e0', role: 'decode' });
    expect(getOrders(reduce(state, { type: 'tick' }, 1_100))).toEqual([]);
    expect(getMessages(requestGrant(state, { request: 'r2' }, 1_200))).toEqual(['refused full']);
    const grant = [...(state.grants.owned.get('e0')?.pins.keys() ?? [])][0] ?? '';
    const message = { type: 'grantReleased' as const, request: 'r1', engine: 'e0', grant };
    const released = { ...message, result: 'completed' as const };
    reduce(state, { type: 'messageReceived', from: 'h9', message: released }, 1_300);
    expect(getOrders(reduce(state, { type: 'tick' }, 2_200))).toEqual(['role decode']);
  });
});

describe('the order of grants', () => {
  const shares: Change[] = [
    { type: 'putShare', firm: 'f', share: 0.5 },
    { type: 'putShare', firm: 'g', share: 0.5 },
  ];
  it.each([
    {
      name: 'an urgent request before a draft',
      first: { kind: 'draft' as const },
      second: { kind: 'urgent' as const },
    },
    {
      name: 'a firm below its share before one that exceeds its own',
      first: { firm: 'f' },
      second: { firm: 'g' },
    },
    { name: 'the configured caller order', first: { priority: 7 }, second: { priority: 1 } },
  ])('puts $name', ({ first, second }) => {
    const state = newOwner(shares);
    report(state, 0, '1', ['a0@v1']);
    for (let used = 0; used < 4; used++)
      requestGrant(state, { request: `u${used}`, kind: 'urgent' }, 10);
    requestGrant(state, { request: 'first', ...first }, 20);
    requestGrant(state, { request: 'second', ...second }, 30);
    expect(state.grants.owned.get('e0')?.queue.map(({ request }) => request)).toEqual([
      'second',
      'first',
    ]);
  });
});
