import { describe, expect, it } from 'vitest';
import {
  CLAIM_HOLDER_UNREACHABLE_MS,
  RETENTION_HOUR_KEY,
  HOUR_MS,
  RETENTION_HOURS,
} from '../../src/actions/constants.ts';
import { chooseServiceEndpoint, isRepeatableCall } from '../../src/actions/serviceEndpoints.ts';
import { getActionKey } from '../../src/actions/actionRows.ts';
import type { ActionRow, NewAction } from '../../src/actions/types.ts';
import type { Change, ConfiguredService } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import {
  HOST_UNREACHABLE_AFTER_MS,
  ZONE_UNREACHABLE_AFTER_MS,
} from '../../src/membership/constants.ts';
import { StepSimulation } from '../helpers/stepSimulation.ts';

const SERVICE: ConfiguredService = {
  name: 'desk',
  endpoints: [
    { id: 's1', address: 's1:1', zone: 'z' },
    { id: 's2', address: 's2:1', zone: 'z' },
    { id: 's3', address: 's3:1', zone: 'y' },
  ],
  repeatable: [
    { method: 'GET', path: '/status/*' },
    { method: 'GET', path: '/health' },
  ],
};
const ACTION: NewAction = {
  id: 'a',
  firm: 'atlas',
  caller: 'c',
  service: 'desk',
  method: 'POST',
  path: '/book',
  idempotencyKey: 'k',
  bodyHash: 'b',
  deadline: 60_000,
};

function newSimulation(changes: Change[] = [], hosts = ['h1']) {
  const seen: Effect[] = [];
  const simulation = StepSimulation.create({
    seed: 1,
    hosts,
    changes: [{ type: 'putService', service: SERVICE }, ...changes],
    onEffect: (_simulation, _host, effect) => void seen.push(effect),
  });
  const answer = () => seen.find((effect) => effect.type === 'answerAction')?.answer;
  const call = () => seen.findLast((effect) => effect.type === 'callService');
  return { simulation, seen, answer, call };
}

function putRow(simulation: StepSimulation, row: Partial<ActionRow>): void {
  const value = { token: 't', bodyHash: 'x', host: 'h9', incarnation: 1, state: 'claimed', ...row };
  simulation.table.apply({
    type: 'write',
    writes: [{ type: 'put', key: getActionKey(ACTION), value, condition: { type: 'any' } }],
  });
}

describe('a new call', () => {
  it.each([
    { name: 'without a key', parts: { idempotencyKey: undefined }, kind: 'key_missing' },
    {
      name: 'with a key that is too long',
      parts: { idempotencyKey: 'k'.repeat(256) },
      kind: 'bad_request',
    },
    { name: 'with a malformed key', parts: { idempotencyKey: '\ud800' }, kind: 'bad_request' },
    { name: 'to an unknown service', parts: { service: 'none' }, kind: 'unknown_service' },
    { name: 'after its deadline', parts: { deadline: 0 }, kind: 'deadline_passed' },
  ])('$name is not run', ({ parts, kind }) => {
    const { simulation, answer, call } = newSimulation();
    const action = { ...ACTION, ...parts };
    simulation.dispatch(simulation.getHost('h1'), { type: 'actionArrived', action });
    expect(answer()).toMatchObject({ failure: { kind, outcome: 'not_run' } });
    expect(call()).toBeUndefined();
  });

  it('that is repeatable runs without a key and without the table', () => {
    const { simulation, call } = newSimulation();
    const action = { ...ACTION, method: 'GET', path: '/status/7?x=1', idempotencyKey: undefined };
    simulation.dispatch(simulation.getHost('h1'), { type: 'actionArrived', action });
    expect(call()).toMatchObject({ endpoint: 's1', isRepeatable: true });
  });
});

describe('a row of an earlier call', () => {
  it.each([
    {
      name: 'of a different call',
      row: { bodyHash: 'other' },
      kind: 'key_reused',
      outcome: 'not_run',
    },
    { name: 'of a host that is gone', row: {}, kind: 'outcome_unknown', outcome: 'unknown' },
    {
      name: 'of a live host',
      row: { host: 'h2', incarnation: 2 },
      kind: 'in_progress',
      outcome: 'unknown',
    },
    {
      name: 'of a host whose link just closed',
      row: { host: 'h2', incarnation: 2 },
      unlinked: { zone: 'z', ms: HOST_UNREACHABLE_AFTER_MS - 1 },
      kind: 'in_progress',
      outcome: 'unknown',
    },
    {
      name: 'of a host of this zone that is unreachable',
      row: { host: 'h2', incarnation: 2 },
      unlinked: { zone: 'z', ms: HOST_UNREACHABLE_AFTER_MS },
      kind: 'outcome_unknown',
      outcome: 'unknown',
    },
    {
      name: 'of a zone whose links just closed',
      row: { host: 'h2', incarnation: 2 },
      unlinked: { zone: 'y', ms: ZONE_UNREACHABLE_AFTER_MS - 1 },
      kind: 'in_progress',
      outcome: 'unknown',
    },
    {
      name: 'of a zone that is unreachable',
      row: { host: 'h2', incarnation: 2 },
      unlinked: { zone: 'y', ms: ZONE_UNREACHABLE_AFTER_MS },
      kind: 'outcome_unknown',
      outcome: 'unknown',
    },
    {
      name: 'of an earlier incarnation',
      row: { host: 'h2', incarnation: 1 },
      kind: 'outcome_unknown',
      outcome: 'unknown',
    },
    {
      name: 'whose outcome is unknown',
      row: { state: 'unknown' as const },
      kind: 'outcome_unknown',
      outcome: 'unknown',
    },
  ])('$name answers a repeat with $kind', ({ row, unlinked, kind, outcome }) => {
    const { simulation, answer, call } = newSimulation([], ['h1', 'h2']);
    if (unlinked !== undefined) {
      simulation.now = 1_000_000;
      const { hosts, linkedHosts, unlinkedSince } = simulation.getHost('h1').state.membership;
      const entry = hosts.get('h2');
      if (entry !== undefined) hosts.set('h2', { ...entry, zone: unlinked.zone });
      linkedHosts.delete('h2');
      unlinkedSince.set('h2', simulation.now - unlinked.ms);
    }
    const { bodyHash } = { bodyHash: getHash(), ...row };
    putRow(simulation, { ...row, bodyHash });
    const action = { ...ACTION, deadline: simulation.now + 60_000 };
    simulation.dispatch(simulation.getHost('h1'), { type: 'actionArrived', action });
    simulation.runUntil(() => answer() !== undefined);
    expect(answer()).toMatchObject({ failure: { kind, outcome } });
    expect(call()).toBeUndefined();
  });

  it('that was released is claimed again', () => {
    const { simulation, call } = newSimulation();
    putRow(simulation, { state: 'released' });
    simulation.dispatch(simulation.getHost('h1'), { type: 'actionArrived', action: ACTION });
    simulation.runUntil(() => call() !== undefined);
    expect(call()).toMatchObject({ isRepeatable: false });
  });
});

function getHash(): string {
  const { simulation, call } = newSimulation();
  simulation.dispatch(simulation.getHost('h1'), { type: 'actionArrived', action: ACTION });
  simulation.runUntil(() => call() !== undefined);
  const row = simulation.table.rows.get(getActionKey(ACTION))?.value as ActionRow;
  return row.bodyHash;
}

interface Choice {
  name: string;
  busy?: Record<string, number>;
  leaving?: string[];
  /** Endpoints that are leaving according to the host list. */
  leavingByHostList?: string[];
  inBackoff?: string[];
  expected: string | undefined;
}

describe('the choice of an endpoint', () => {
  it.each<Choice>([
    {
      name: 'takes the endpoint of its zone with the fewest calls in flight',
      busy: { s1: 1 },
      expected: 's2',
    },
    {
      name: 'prefers a busy endpoint of its zone to another zone',
      busy: { s1: 4, s2: 3 },
      expected: 's2',
    },
    { name: 'skips a leaving endpoint (G6)', leaving: ['s1', 's2'], expected: 's3' },
    { name: 'avoids endpoints in backoff', inBackoff: ['s1', 's2'], expected: 's3' },
    {
      name: 'takes an endpoint in backoff rather than none',
      inBackoff: ['s1', 's2'],
      leaving: ['s3'],
      expected: 's1',
    },
    { name: 'never takes a leaving endpoint', leaving: ['s1', 's2', 's3'], expected: undefined },
    {
      name: 'skips an endpoint that is leaving only according to the host list',
      leavingByHostList: ['s1'],
      expected: 's2',
    },
  ])('$name', ({ busy = {}, leaving = [], leavingByHostList = [], inBackoff = [], expected }) => {
    const { simulation } = newSimulation();
    const { state } = simulation.getHost('h1');
    for (const [id, count] of Object.entries(busy)) state.actions.outstandingCalls.set(id, count);
    for (const id of leaving) state.configuration.leavingEndpoints.add(id);
    for (const id of leavingByHostList) state.membership.leavingEndpoints.set(id, 0);
    for (const id of inBackoff) state.actions.backoffUntil.set(id, 10);
    expect(chooseServiceEndpoint(state, SERVICE, new Set(), 5)?.id).toBe(expected);
  });

  it.each([
    { method: 'GET', path: '/status/7', expected: true },
    { method: 'POST', path: '/status/7', expected: false },
    { method: 'GET', path: '/health/x', expected: false },
    // A dot segment could lead to a call that is not repeatable.
    { method: 'GET', path: '/status/../book', expected: false },
    { method: 'GET', path: '/status/%2e%2E/book', expected: false },
    { method: 'GET', path: '/status/..%2Fbook', expected: false },
  ])('$method $path is repeatable: $expected', ({ method, path, expected }) => {
    expect(isRepeatableCall(SERVICE, { ...ACTION, method, path })).toBe(expected);
  });
});

describe('retention', () => {
  it('raises the retention hour at most once an hour, and deletes a row only after 7 days', () => {
    const { simulation, call, answer } = newSimulation();
    const { table } = simulation;
    const host = simulation.getHost('h1');
    const getHour = () =>
      (table.rows.get(RETENTION_HOUR_KEY)?.value as { hour?: number } | undefined)?.hour;
    simulation.runUntil(() => host.state.actions.retentionHour === 1, 100_000);
    expect(simulation.now).toBeGreaterThanOrEqual(HOUR_MS);

    const action = { ...ACTION, deadline: simulation.now + 1000 };
    simulation.dispatch(host, { type: 'actionArrived', action });
    simulation.runUntil(() => call() !== undefined);
    const served = { type: 'answered', status: 200, headers: {}, body: '' } as const;
    simulation.dispatch(host, { type: 'serviceCallEnded', id: 'a', answer: served });
    simulation.runUntil(() => answer() !== undefined && host.state.actions.inFlight.size === 0);
    const setHour = (hour: number) => {
      const value = { hour };
      const condition = { type: 'any' } as const;
      table.apply({
        type: 'write',
        writes: [{ type: 'put', key: RETENTION_HOUR_KEY, value, condition }],
      });
      const sweptAt = simulation.now + 1_800_000;
      simulation.runUntil(() => simulation.now > sweptAt, 100_000);
    };
    setHour(RETENTION_HOURS);
    expect(getHour()).toBe(RETENTION_HOURS);
    expect(table.rows.has(getActionKey(ACTION))).toBe(true);
    setHour(RETENTION_HOURS + 1);
    expect([...table.rows.keys()]).toEqual([RETENTION_HOUR_KEY]);
  });

  it('ends the claim of a host that is gone as "unknown"', () => {
    const { simulation, call } = newSimulation([], ['h1', 'h2']);
    const action = { ...ACTION, deadline: 1000 };
    simulation.dispatch(simulation.getHost('h2'), { type: 'actionArrived', action });
    simulation.runUntil(() => call() !== undefined);
    simulation.stopHost('h2');
    const getRow = () => simulation.table.rows.get(getActionKey(ACTION))?.value;
    simulation.runUntil(() => (getRow() as ActionRow).state !== 'claimed');
    expect(getRow()).toMatchObject({ state: 'unknown', endedHour: 0 });
  });

  // Guards against a claim of a lost zone that stays open forever, and against one that is ended
  // while its holder is only partitioned and still records the response.
  it('ends the claim of a host in an unreachable zone after 10 minutes', () => {
    const { simulation, call } = newSimulation([], ['h1', 'h2']);
    simulation.dispatch(simulation.getHost('h2'), { type: 'actionArrived', action: ACTION });
    simulation.runUntil(() => call() !== undefined);
    const { hosts, unlinkedSince } = simulation.getHost('h1').state.membership;
    const entry = hosts.get('h2');
    simulation.stopHost('h2');
    if (entry !== undefined) hosts.set('h2', { ...entry, zone: 'y' });
    const lostAt = simulation.now;
    unlinkedSince.set('h2', lostAt);
    const getRow = () => simulation.table.rows.get(getActionKey(ACTION))?.value;
    simulation.runUntil(() => (getRow() as ActionRow).state !== 'claimed', 100_000);
    expect(simulation.now - lostAt).toBeGreaterThanOrEqual(CLAIM_HOLDER_UNREACHABLE_MS);
    expect(getRow()).toMatchObject({ state: 'unknown' });
  });
});
