import { describe, expect, it } from 'vitest';
import { REACHABLE_AFTER_MS, UNREACHABLE_AFTER_MS } from '../../src/owners/constants.ts';
import { getMembersRowOwner } from '../../src/owners/owner.ts';
import { PROBE_INTERVAL_MS } from '../../src/paths/constants.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { EndpointCheck } from '../../src/forwards/types.ts';
import {
  DirectoryHost,
  type EffectOf,
  newDirectoryChange,
  newMembersRow,
} from '../helpers/directoryHost.ts';

type OrderCheck = EffectOf<'checkOrderConnection'>;

const UNREACHABLE = ['e0'];
const ENGINE = { service: 'llm', models: ['base'] };
/** Time within which an owner lists an engine that it lost, or takes one off the list. */
const LISTED_WITHIN_MS = UNREACHABLE_AFTER_MS + 2 * PROBE_INTERVAL_MS;

/** Creates the owner of the engine e0; with `others`, there is another engine, which it reaches. */
function createOwner(others = true): DirectoryHost {
  const host = DirectoryHost.create().configure({
    routes: [{ kind: 'stream', targets: [{ service: 'llm', weight: 1 }] }],
    endpoints: [ENGINE, ...(others ? [ENGINE] : [])],
    members: [{ host: 'h0' }, { host: 'h1', zone: 'z2' }],
  });
  host.dispatch({ type: 'linkOpened', host: 'h1' }).takeAllEffects();
  return host;
}

/** The host finds out by probes that it can't reach its engine, or that it can. */
function probe(host: DirectoryHost, isAnswered: boolean): DirectoryHost {
  return host.dispatch({ type: 'endpointProbed', endpoint: 'e0', isAnswered });
}

/** Sends a request for an adapter that has to be loaded; returns the types of the effects. */
function orderAdapter(host: DirectoryHost): Effect['type'][] {
  const labels = { model: 'base/a1', adapter: 'base/a1', promptTokens: 10, outputTokens: 10 };
  const effects = host.receiveForward({ labels }).advance(300).takeAllEffects();
  return effects.map(({ type }) => type);
}

function findCheck(effects: Effect[]): OrderCheck | undefined {
  return effects.find(
    (effect): effect is OrderCheck =>
      effect.type === 'checkOrderConnection' && effect.engine === 'e0',
  );
}

function answerCheck(host: DirectoryHost, check: OrderCheck | undefined, isAnswered: boolean) {
  if (check === undefined) throw new Error('the order connection was not checked');
  const { engine, checkedAt } = check;
  host.dispatch({ type: 'orderConnectionChecked', engine, checkedAt, isAnswered });
}

/** The host finds out that it can't reach its engine, and what another host says of it. */
function loseEngine(host: DirectoryHost, other: Partial<EndpointCheck> = { isRunning: true }) {
  probe(host, false);
  const check = { endpoint: 'e0', startedAt: 1, relay: 'h1', isRefused: false, ...other };
  return host.dispatch({ type: 'endpointChecked', ...check });
}

describe('the owner of an engine that its owner cannot reach', () => {
  it.each<[string, Parameters<typeof newMembersRow>[1], string]>([
    ['is another owner of the zone', [{ unreachable: UNREACHABLE }, {}, { zone: 'z2' }], 'h1'],
    ['is an owner that is not cut off', [{ isCutOff: true }, { isCutOff: true }, {}], 'h2'],
    [
      'is a standby host if there is no other owner',
      [{ unreachable: UNREACHABLE }, { isOwner: false }],
      'h1',
    ],
    [
      'is an owner of another zone if none of its own reaches the engine',
      [
        { unreachable: UNREACHABLE },
        { unreachable: UNREACHABLE },
        { zone: 'z2', isOwner: false },
        { zone: 'z2' },
      ],
      'h3',
    ],
    ['stays while no host reaches the engine', [{ unreachable: UNREACHABLE }], 'h0'],
    ['stays while others are unreachable', [{ unreachable: ['e1'] }, { zone: 'z2' }], 'h0'],
  ])('%s', (_name, members, expected) => {
    expect(getMembersRowOwner(newMembersRow(1, members), 'e0', 'z1')).toBe(expected);
  });
});

// Guards against engines that nobody orders while their owner is cut off from them.
describe('an owner that cannot reach its engine', () => {
  it.each<[string, boolean, object, object]>([
    ['lists it', true, { unreachable: ['e0'] }, { unreachable: [] }],
    ['says that it is cut off', false, { isCutOff: true }, { isCutOff: false }],
  ])('%s until the path was back for a time', (_name, others, lost, restored) => {
    const host = loseEngine(createOwner(others));
    expect(host.advance(UNREACHABLE_AFTER_MS - 1).takeRowWrites('members')).toEqual([]);
    const [written] = host.advance(LISTED_WITHIN_MS).takeRowWrites('members');
    if (written === undefined) throw new Error('nothing was written');
    expect(written.row.members[0]).toMatchObject(lost);
    const content = { type: 'members' as const, row: written.row };
    host.dispatch({ type: 'rowWriteAnswered', content, answer: { type: 'written', version: 21 } });
    expect(host.state.residency.owned.has('e0')).toBe(false);
    probe(host, true).takeAllEffects();
    expect(host.advance(REACHABLE_AFTER_MS - 1).takeRowWrites('members')).toEqual([]);
    const [cleared] = host.advance(LISTED_WITHIN_MS).takeRowWrites('members');
    expect(cleared?.row.members[0]).toMatchObject(restored);
  });

  // Guards against engines that get another owner, which waits before its first order, because they are down.
  it.each<[string, Partial<EndpointCheck>]>([
    ['reaches it either', {}],
    ['is served by it either', { isRefused: true }],
  ])('keeps it while no other host %s', (_name, other) => {
    const host = loseEngine(createOwner(), other);
    expect(host.advance(10 * LISTED_WITHIN_MS).takeRowWrites('members')).toEqual([]);
    const again = { endpoint: 'e0', startedAt: 1, relay: 'h1', isRefused: false, isRunning: true };
    host.dispatch({ type: 'endpointChecked', ...again });
    const [written] = host.advance(LISTED_WITHIN_MS).takeRowWrites('members');
    expect(written?.row.members[0]).toMatchObject({ unreachable: ['e0'] });
  });

  it('does not order it', () => {
    const host = probe(createOwner(), false);
    host.takeAllEffects();
    const types = orderAdapter(host);
    expect(types).not.toContain('sendAdapterOrder');
    expect(types).not.toContain('readAdapterReport');
  });

  // Guards against engines that get another owner over a refused connection while orders still arrive.
  it('keeps it while its order connection lives on, and lists it once a check is not answered', () => {
    const host = loseEngine(createOwner());
    const [first] = host.takeEffects('checkOrderConnection');
    expect(first).toMatchObject({ engine: 'e0' });
    answerCheck(host, first, true);
    expect(host.takeEffects('readAdapterReport')).toMatchObject([{ engine: 'e0' }]);
    const report = { startedAt: 1, sequence: 1, models: ['base'], adapters: [], loading: [] };
    host.dispatch({ type: 'adapterReportRead', engine: 'e0', report, reason: '' });
    for (let checks = 0; checks < 10; checks++) {
      const effects = host.advance(PROBE_INTERVAL_MS).takeAllEffects();
      expect(effects.filter(({ type }) => type === 'writeRow')).toEqual([]);
      answerCheck(host, findCheck(effects), true);
    }
    const last = findCheck(host.advance(PROBE_INTERVAL_MS).takeAllEffects());
    expect(orderAdapter(host)).not.toContain('sendAdapterOrder');
    answerCheck(host, last, true);
    expect(host.takeEffects('sendAdapterOrder')).toMatchObject([{ engine: 'e0' }]);
    answerCheck(host, findCheck(host.advance(PROBE_INTERVAL_MS).takeAllEffects()), false);
    const [written] = host.advance(LISTED_WITHIN_MS).takeRowWrites('members');
    expect(written?.row.members[0]).toMatchObject({ unreachable: ['e0'] });
  });

  it('is succeeded by a host that issues orders only after the last possible one of its own', () => {
    const host = DirectoryHost.create('h1', 'z2').configure({
      routes: [{ kind: 'stream', targets: [{ service: 'llm', weight: 1 }] }],
      endpoints: [{ service: 'llm', models: ['base'] }],
      members: [{ host: 'h0' }, { host: 'h1', zone: 'z2' }],
    });
    const row = newMembersRow(2, [
      { host: 'h0', unreachable: UNREACHABLE },
      { host: 'h1', zone: 'z2' },
    ]);
    const change = newDirectoryChange('members', 30, { type: 'members', row });
    host.answerDirectoryCall('members', [change], 30);
    const owned = host.state.residency.owned.get('e0');
    expect(owned?.ordersAllowedAt).toBe(host.now + 3_300 - UNREACHABLE_AFTER_MS);
  });
});
