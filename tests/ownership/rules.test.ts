import { describe, expect, it } from 'vitest';
import { applyRevision } from '../../src/configuration/apply.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Message } from '../../src/core/messages.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { TableCall } from '../../src/core/store.ts';
import { State } from '../../src/core/state.ts';
import {
  canOrderDestructively,
  getActingOwner,
  isStaleGrantEpoch,
  recordGrantEpoch,
} from '../../src/ownership/owner.ts';
import { getOrCreateEngineView } from '../../src/engines/views.ts';
import { LEASE_RENEWAL_INTERVAL_MS, PROMISE_TTL_MS } from '../../src/ownership/constants.ts';
import type { Lease } from '../../src/ownership/types.ts';
import { SimulatedCluster, newZoneEngineChanges } from '../helpers/simulatedCluster.ts';

const ENGINE = 'engine-z-0';
const ANY = { type: 'any' as const };

function newState(isStandalone = false): State {
  const state = State.create({
    host: { id: 'h0', zone: 'z', region: 'r', address: '127.0.0.1:1', incarnation: 1 },
    policy: {
      stallWeight: 0.5,
      loadsPerS: 100,
      maxRequestsPerCaller: 10,
      maxRequests: 10,
      lameDuckMs: 0,
      isStandalone,
    },
    randomSeed: 1,
  });
  applyRevision(state.configuration, {
    revision: 1,
    operator: 'o',
    plan: 'p',
    confirmedAtUnixMs: 0,
    changes: newZoneEngineChanges(['z'], 4),
  });
  reduce(state, { type: 'started' }, 0);
  return state;
}

function receive(state: State, message: Message, from: string, now: number): Message[] {
  const effects = reduce(state, { type: 'messageReceived', from, message }, now);
  return getSent(effects).filter(({ type }) => type.startsWith('promise'));
}

function getSent(effects: Effect[]): Message[] {
  return effects.flatMap((effect) => (effect.type === 'sendMessage' ? [effect.message] : []));
}

function newZoneRowMessage(epoch: number): Message {
  const members = ['h0', 'h1'].map((host) => ({ host, incarnation: 1 }));
  return { type: 'zoneRowSeen', zone: 'z', rows: [{ epoch, members }] };
}

function tick(state: State, from: number, until: number): Effect[] {
  const effects: Effect[] = [];
  for (let at = from; at <= until; at += 250) effects.push(...reduce(state, { type: 'tick' }, at));
  return effects;
}

describe('a host without a table', () => {
  it('owns every engine and may evict in standalone mode', () => {
    const state = newState(true);
    expect(getActingOwner(state, ENGINE)).toEqual({ host: 'h0', epoch: 1 });
    expect(canOrderDestructively(state, ENGINE, 10)).toBe(true);
  });

  it('owns nothing before it has read the zone row, so that two new hosts cannot both own', () => {
    const state = newState();
    tick(state, 0, 60_000);
    expect(getActingOwner(state, ENGINE)).toBeUndefined();
    expect(canOrderDestructively(state, ENGINE, 60_000)).toBe(false);
  });
});

describe('a promise', () => {
  it.each([
    {
      name: 'given to a member at the same epoch',
      own: 5,
      requestedEpoch: 5,
      incarnation: 1,
      answer: 'promiseGiven',
    },
    {
      name: 'refused if the receiver knows a newer epoch',
      own: 6,
      requestedEpoch: 5,
      incarnation: 1,
      answer: 'promiseRefused',
    },
    {
      name: 'refused if the receiver knows only an older epoch',
      own: 4,
      requestedEpoch: 5,
      incarnation: 1,
      answer: 'promiseRefused',
    },
    {
      name: 'refused to an incarnation that is not a member',
      own: 5,
      requestedEpoch: 5,
      incarnation: 2,
      answer: 'promiseRefused',
    },
  ])('is $name', ({ own, requestedEpoch, incarnation, answer }) => {
    const state = newState();
    receive(state, newZoneRowMessage(own), 'h1', 10);
    const request = { type: 'promiseAsked' as const, ask: 0, epoch: requestedEpoch, incarnation };
    expect(receive(state, request, 'h1', 20).map(({ type }) => type)).toEqual([answer]);
  });

  it.each([
    {
      name: 'is valid from the time at which its request was sent',
      epoch: 5,
      after: PROMISE_TTL_MS - 1,
      isValid: true,
    },
    { name: 'expires after its time to live', epoch: 5, after: PROMISE_TTL_MS, isValid: false },
    { name: 'is not valid at another epoch', epoch: 6, after: 1, isValid: false },
  ])('$name', ({ epoch, after, isValid }) => {
    const state = newState();
    receive(state, newZoneRowMessage(5), 'h1', 0);
    receive(state, { type: 'epochSeen', incarnation: 1, epoch: 5 }, 'h1', 0);
    // The takeover is complete, so that the result depends on the promise alone.
    const [engine = ''] = state.ownership.acquiredEngines.keys();
    const acquired = state.ownership.acquiredEngines.get(engine);
    expect(acquired).toBeDefined();
    if (acquired !== undefined) acquired.isHandedOver = true;
    const request = getSent(tick(state, 0, 1_000)).find(({ type }) => type === 'promiseAsked');
    const requestNumber = request?.type === 'promiseAsked' ? request.ask : -1;
    const sentAt = state.ownership.promisesRequestedAt;
    receive(state, { type: 'promiseGiven', ask: requestNumber, epoch }, 'h1', 1_000);
    expect(canOrderDestructively(state, engine, sentAt + after)).toBe(isValid);
  });
});

describe('a paused host', () => {
  it('does not evict before it renews its lease, although the lease is still valid', () => {
    const cluster = SimulatedCluster.create(1, newZoneEngineChanges(['z'], 4));
    const node = cluster.startNode('h0', 'z');
    cluster.startNode('h1', 'z');
    cluster.advance(120_000);
    const [engine = ''] = node.state.grants.owned.keys();
    const canEvict = (): boolean =>
      canOrderDestructively(node.state, engine, cluster.getMonotonicMs(node));
    expect(canEvict()).toBe(true);
    node.isTableUnreachable = true;
    cluster.pauseNode('h0', 2_000);
    cluster.advance(2_100);
    expect(node.state.ownership.leaseValidUntil).toBeGreaterThan(cluster.getMonotonicMs(node));
    expect(canEvict()).toBe(false);
  });
});

describe('epochs of grants', () => {
  it.each([
    { epoch: 6, isStale: true },
    { epoch: 7, isStale: false },
    { epoch: 8, isStale: false },
  ])('of $epoch after one of 7 are stale: $isStale', ({ epoch, isStale }) => {
    const state = newState();
    getOrCreateEngineView(state.engines, ENGINE);
    recordGrantEpoch(state, ENGINE, 7);
    recordGrantEpoch(state, ENGINE, 3);
    expect(isStaleGrantEpoch(state, ENGINE, epoch)).toBe(isStale);
  });
});

describe('the removal of a member', () => {
  it('fails if the member has renewed its lease since the last lease scan', () => {
    const cluster = SimulatedCluster.create(1, newZoneEngineChanges(['z'], 1));
    cluster.startNode('h0', 'z');
    cluster.startNode('h1', 'z');
    cluster.advance(20_000);
    let removal: TableCall | undefined;
    cluster.afterEvent = (_node, effects) => {
      for (const effect of effects) {
        if (effect.type !== 'callTable' || effect.purpose.type !== 'writeZoneRow') continue;
        removal ??= effect.call;
        // The renewal reaches the table before the removal does.
        const write = { type: 'put' as const, key: 'host/z/h0', value: {}, condition: ANY };
        cluster.table.apply({ type: 'write', writes: [write] });
      }
    };
    cluster.pauseNode('h0', 40_000);
    cluster.advance(22_000);
    expect(removal).toBeDefined();
    expect(cluster.table.getValue('zone/z')).toMatchObject({ members: [{}, {}] });
  });
});

describe('a missed zone row', () => {
  it('makes a host wait again, as another host may have owned its engines at the missed epoch', () => {
    const state = newState();
    receive(state, newZoneRowMessage(5), 'h1', 0);
    receive(state, { type: 'epochSeen', incarnation: 1, epoch: 5 }, 'h1', 0);
    const [engine = ''] = state.ownership.acquiredEngines.keys();
    const before = state.ownership.acquiredEngines.get(engine);
    expect(before).toBeDefined();
    receive(state, newZoneRowMessage(6), 'h1', 100);
    expect(state.ownership.acquiredEngines.get(engine)).toBe(before);
    // The acknowledgement arrives before the row, so that no member blocks the takeover.
    receive(state, { type: 'epochSeen', incarnation: 1, epoch: 8 }, 'h1', 150);
    receive(state, newZoneRowMessage(8), 'h1', 200);
    expect(state.ownership.acquiredEngines.get(engine)).toMatchObject({
      acquiredAt: 200,
      epoch: 8,
    });
  });
});

describe('the lease', () => {
  it('is renewed once per interval, so that 390 hosts stay within the rate limit of the table', () => {
    const cluster = SimulatedCluster.create(1, newZoneEngineChanges(['z'], 1));
    cluster.startNode('h0', 'z');
    const getRenewal = (): number => (cluster.table.getValue('host/z/h0') as Lease).renewal;
    cluster.advance(10_000);
    const before = getRenewal();
    cluster.advance(20 * LEASE_RENEWAL_INTERVAL_MS);
    // The clock rate of a simulated host differs by up to 4%.
    expect(getRenewal() - before).toBeGreaterThanOrEqual(19);
    expect(getRenewal() - before).toBeLessThanOrEqual(21);
  });
});
