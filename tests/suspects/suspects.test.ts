import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RETENTION_HOUR_KEY } from '../../src/actions/constants.ts';
import {
  updateSuspectsOnReport,
  updateSuspectsOnRefusedConnection,
  recordCompletion,
  clearSuspect,
  recordBrokenEngineAttempt,
  recordCrash,
} from '../../src/suspects/crashes.ts';
import {
  UNREACHABLE_CRASH_HOLD_MS,
  SUSPECT_ROW_TTL_HOURS,
  SUSPECT_TTL_MS,
  ZONE_READER_POLL_INTERVAL_MS,
} from '../../src/suspects/constants.ts';
import { getFingerprint } from '../../src/suspects/fingerprint.ts';
import { isSameSuspect, mergeSuspects } from '../../src/suspects/mergeSuspects.ts';
import {
  canRunBesideSuspects,
  getUnreachableCrashFailure,
  chooseSuspectEngine,
  getSuspicion,
} from '../../src/suspects/suspicion.ts';
import { pollSuspects, mergeSuspectRows } from '../../src/suspects/suspectRows.ts';
import type { Suspect } from '../../src/suspects/types.ts';
import { newEngineChanges, newRequest } from '../helpers/engines.ts';
import { StepSimulation } from '../helpers/stepSimulation.ts';

function newSimulation(hosts = ['h1']) {
  const onEffect = () => undefined;
  const simulation = StepSimulation.create({
    seed: 1,
    hosts,
    changes: newEngineChanges(3),
    onEffect,
  });
  const host = simulation.getHost('h1');
  /** Attributes the crash of `engine` under `bootId` to `fingerprints`. */
  const crash = (engine: string, bootId: string, ...fingerprints: string[]) => {
    const pins = fingerprints.map((fingerprint) => ({ fingerprint, bootId }));
    simulation.runReducer(host, (state, now) => recordCrash(state, engine, pins, now));
  };
  const get = (fingerprint: string, id = 'h1') =>
    getSuspicion(simulation.getHost(id).state, fingerprint);
  return { simulation, host, crash, get };
}

describe('the crash of an engine', () => {
  it.each([
    { name: 'once', crashes: [['e1', 'b1']], expected: 'suspect' },
    {
      name: 'reported twice',
      crashes: [
        ['e1', 'b1'],
        ['e1', 'b1'],
      ],
      expected: 'suspect',
    },
    {
      name: 'reported with and without boot id',
      crashes: [
        ['e1', 'b1'],
        ['e1', ''],
      ],
      expected: 'suspect',
    },
    {
      name: 'on two engines',
      crashes: [
        ['e1', 'b1'],
        ['e2', 'b1'],
      ],
      expected: 'quarantined',
    },
    {
      name: 'on one engine before and after a restart',
      crashes: [
        ['e1', 'b1'],
        ['e1', 'b2'],
      ],
      expected: 'quarantined',
    },
  ])('under one request $name makes it $expected', ({ crashes, expected }) => {
    const { crash, get } = newSimulation();
    for (const [engine = '', boot = ''] of crashes) crash(engine, boot, 'x');
    expect(get('x')).toBe(expected);
  });

  it('quarantines the only earlier suspect and makes the others suspects', () => {
    const { crash, get } = newSimulation();
    crash('e1', 'b1', 'bad', 'good');
    crash('e2', 'b1', 'bad', 'other');
    expect([get('bad'), get('good'), get('other')]).toEqual(['quarantined', 'suspect', 'suspect']);
  });

  it('quarantines none when two earlier suspects ran', () => {
    const { crash, get } = newSimulation();
    crash('e1', 'b1', 'a', 'b');
    crash('e2', 'b1', 'a', 'b');
    expect([get('a'), get('b')]).toEqual(['suspect', 'suspect']);
  });

  it.each([
    { name: 'under the same boot id', bootId: 'b1', expected: 'clear' },
    { name: 'under another boot id', bootId: 'b2', expected: 'suspect' },
  ])('is distinguished from a broken connection by a report $name', ({ bootId, expected }) => {
    const { simulation, host, get } = newSimulation();
    recordBrokenEngineAttempt(host.state, 'e1', { fingerprint: 'x', bootId: 'b1' }, 0);
    simulation.runReducer(host, (state) => updateSuspectsOnReport(state, 'e1', bootId, 5_000));
    simulation.runReducer(host, (state) => updateSuspectsOnRefusedConnection(state, 'e1', 6_000));
    expect(get('x')).toBe(expected);
  });
});

describe('the grants of an engine that is down', () => {
  const newPin = (fingerprint: string, grantedAt: number) => ({
    grant: `g-${fingerprint}`,
    request: `r-${fingerprint}`,
    host: 'h9',
    model: 'a@v1',
    firm: 'f',
    fingerprint,
    grantedAt,
    expiresAt: Infinity,
  });

  /** Returns an owner whose engine refuses connections from 100 ms on. */
  function newOwner() {
    const { simulation, host, get } = newSimulation();
    const owned = host.state.grants.owned.get('e1');
    if (owned === undefined) throw new Error('engine e1 is not owned');
    owned.pins.set('g-before', newPin('before', 50));
    simulation.runReducer(host, (state) => updateSuspectsOnRefusedConnection(state, 'e1', 100));
    owned.pins.set('g-after', newPin('after', 150));
    simulation.runReducer(host, (state) => updateSuspectsOnRefusedConnection(state, 'e1', 200));
    return { simulation, host, get, owned };
  }

  // Fault: each refused poll attributed the crash also to later grants, so that requests which had
  // not crashed the engine were quarantined.
  it('make their requests suspects when they were issued before the crash, not after', () => {
    const { simulation, host, get } = newOwner();
    expect(get('before')).toBe('clear');
    simulation.now = 3_000;
    simulation.dispatch(host, { type: 'tick' });
    expect([get('before'), get('after')]).toEqual(['suspect', 'clear']);
  });

  it('make no request a suspect when they were released in time', () => {
    const { simulation, host, get, owned } = newOwner();
    owned.pins.delete('g-before');
    simulation.now = 3_000;
    simulation.dispatch(host, { type: 'tick' });
    expect(get('before')).toBe('clear');
  });

  // The release of a request that completed before the crash may arrive seconds late.
  it('clear their request when they are released as completed, even late', () => {
    const { simulation, host, get } = newOwner();
    simulation.now = 3_000;
    simulation.dispatch(host, { type: 'tick' });
    const message = {
      type: 'grantReleased',
      request: 'r-before',
      engine: 'e1',
      grant: 'g-before',
      result: 'completed',
    } as const;
    simulation.dispatch(host, { type: 'messageReceived', from: 'h9', message });
    expect(get('before')).toBe('clear');
  });

  // Fault: a second suspect got a grant before the crash under the first one was confirmed.
  it('are not issued to a suspect while the cause of a broken attempt is unknown', () => {
    const { host, crash, owned } = { ...newOwner(), ...newSimulation() };
    crash('e2', 'b1', 'x');
    recordBrokenEngineAttempt(host.state, owned.id, { fingerprint: 'y', bootId: 'b1' }, 0);
    expect(canRunBesideSuspects(host.state, owned, { fingerprint: 'x' })).toBe(false);
    expect(canRunBesideSuspects(host.state, owned, { fingerprint: 'z' })).toBe(true);
  });
});

describe('a suspect', () => {
  // Fault: a second report of the crash arrived after the request had completed elsewhere.
  it('stays cleared when a crash from before is reported again', () => {
    const { simulation, host, crash, get } = newSimulation();
    crash('e1', 'b1', 'x');
    simulation.runReducer(host, (state, now) => recordCompletion(state, ['x'], now));
    crash('e1', 'b1', 'x');
    expect(get('x')).toBe('clear');
  });

  it('is cleared by completing, but not once it is quarantined', () => {
    const { simulation, host, crash, get } = newSimulation();
    crash('e1', 'b1', 'good', 'bad');
    crash('e2', 'b1', 'bad');
    for (const fingerprint of ['good', 'bad']) {
      simulation.runReducer(host, (state, now) => recordCompletion(state, [fingerprint], now));
    }
    expect([get('good'), get('bad')]).toEqual(['clear', 'quarantined']);
    simulation.runReducer(host, (state, now) => clearSuspect(state, 'bad', now));
    expect(get('bad')).toBe('clear');
  });

  it('reaches a host that no peer can reach, and one that starts later, through the table', () => {
    const { simulation, host, crash, get } = newSimulation(['h1', 'h2']);
    host.state.membership.linkedHosts.clear();
    crash('e1', 'b1', 'x');
    simulation.runUntil(() => get('x', 'h2') === 'suspect');
    simulation.startHost('h3');
    simulation.runUntil(() => get('x', 'h3') === 'suspect');
  });

  // Fault: a host that was starting or cut off when the report was sent learned of it up to 5 s
  // later.
  it('is sent to a host when a link to it opens', () => {
    const { simulation, host, crash, get } = newSimulation(['h1', 'h2']);
    host.state.membership.linkedHosts.clear();
    simulation.faultRate = 1;
    crash('e1', 'b1', 'x');
    simulation.dispatch(host, { type: 'linkOpened', host: 'h2' });
    simulation.runUntil(() => get('x', 'h2') === 'suspect');
  });

  // Fault: hosts of a zone that was just cut off scanned the rows only every 5 s, and meanwhile a
  // copy crashed a third engine.
  it('is scanned often by one host of each zone, which informs the others', () => {
    const { simulation } = newSimulation(['h1', 'h2']);
    const readers = ['h1', 'h2'].map((id) => {
      const { state } = simulation.getHost(id);
      const times = Array.from({ length: 16 }, (_, n) => 10_000 + n * ZONE_READER_POLL_INTERVAL_MS);
      return { id, reads: times.flatMap((now) => pollSuspects(state, now)).length };
    });
    expect(readers.map(({ reads }) => reads).sort((a, b) => a - b)).toEqual([1, 16]);
    const reader = simulation.getHost(readers.find(({ reads }) => reads > 1)?.id ?? '');
    const value = {
      attribute: 'x',
      generation: 0,
      crashes: ['e1@b1'],
      cleared: [],
      isQuarantined: false,
      hour: 0,
    };
    const rows = [{ key: 'suspect/x', value, version: '1' }];
    const reports = mergeSuspectRows(reader.state, { type: 'ok', rows }, 20_000).filter(
      ({ type }) => type === 'sendMessage',
    );
    expect(reports).toHaveLength(1);
  });

  // Fault: zones without a link to each other each lost an engine to copies of one request.
  it.each([
    { name: 'not run in a zone without a link to the zone of the crash', waitMs: 0 },
    {
      name: 'run there after the hold time',
      waitMs: UNREACHABLE_CRASH_HOLD_MS,
    },
  ])('is $name', ({ waitMs }) => {
    const { simulation, host, crash } = newSimulation();
    const engine = host.state.configuration.engines.get('e1');
    if (engine === undefined) throw new Error('engine e1 is not configured');
    host.state.configuration.engines.set('e1', { ...engine, zone: 'other' });
    crash('e1', 'b1', 'x');
    const failure = getUnreachableCrashFailure(host.state, 'x', simulation.now + waitMs, false);
    expect(failure?.kind).toBe(waitMs === 0 ? 'adapter_unavailable' : undefined);
  });

  // Fault: a host without a link to the zone of the crash answered adapter_unavailable although the
  // request had been quarantined 170 ms before.
  it.each([
    { isQuarantined: true, expected: 'request_quarantined' },
    { isQuarantined: false, expected: 'adapter_unavailable' },
  ])('with an unreachable crash is read first: $expected', ({ isQuarantined, expected }) => {
    const failures: string[] = [];
    const simulation = StepSimulation.create({
      seed: 1,
      hosts: ['h1'],
      changes: newEngineChanges(3),
      onEffect: (_simulation, _host, effect) => {
        if (effect.type === 'failRequest') failures.push(effect.failure.kind);
      },
    });
    const host = simulation.getHost('h1');
    const { state } = host;
    const engine = state.configuration.engines.get('e1');
    if (engine === undefined) throw new Error('engine e1 is not configured');
    state.configuration.engines.set('e1', { ...engine, zone: 'other' });
    const request = newRequest('r');
    const fingerprint = getFingerprint('a@v1', request.fingerprint);
    const pins = [{ fingerprint, bootId: 'b1' }];
    simulation.runReducer(host, (_state, now) => recordCrash(state, 'e1', pins, now));
    simulation.runUntil(() => simulation.table.rows.has(`suspect/${fingerprint}`));
    const value = { ...state.suspects.byAttribute.get(fingerprint), isQuarantined };
    const condition = { type: 'any' } as const;
    const key = `suspect/${fingerprint}`;
    simulation.table.apply({ type: 'write', writes: [{ type: 'put', key, value, condition }] });
    simulation.dispatch(host, { type: 'requestArrived', request });
    simulation.runUntil(() => failures.length > 0);
    expect(failures).toEqual([expected]);
  });

  it('expires a day after its last crash, also on a host that reads its row later', () => {
    const { simulation, host, crash, get } = newSimulation();
    simulation.runUntil(() => host.state.actions.retentionHour === 0);
    crash('e1', 'b1', 'x');
    simulation.runUntil(() => simulation.table.rows.has('suspect/x'));
    const value = { hour: SUSPECT_ROW_TTL_HOURS };
    const condition = { type: 'any' } as const;
    simulation.table.apply({
      type: 'write',
      writes: [{ type: 'put', key: RETENTION_HOUR_KEY, value, condition }],
    });
    simulation.startHost('h2');
    simulation.runUntil(() => !simulation.table.rows.has('suspect/x'), 100_000);
    simulation.now += SUSPECT_TTL_MS;
    simulation.dispatch(host, { type: 'tick' });
    expect(get('x')).toBe('clear');
  });

  it('is placed on the same engine by every host, and not on one that it crashed', () => {
    const { host, crash } = newSimulation();
    const engines = ['e1', 'e2', 'e3'];
    const first = chooseSuspectEngine(host.state, 'x', engines) ?? '';
    expect(chooseSuspectEngine(host.state, 'x', [...engines].reverse())).toBe(first);
    crash(first, 'b1', 'x');
    expect(chooseSuspectEngine(host.state, 'x', engines)).not.toBe(first);
    expect(chooseSuspectEngine(host.state, 'x', [first])).toBe(first);
  });
});

describe('mergeSuspects', () => {
  const suspect = fc.record<Suspect>({
    attribute: fc.constant('x'),
    depth: fc.nat(2),
    generation: fc.nat(2),
    crashes: fc.uniqueArray(fc.constantFrom('e1@b1', 'e1@b2', 'e2@b1')),
    cleared: fc.uniqueArray(fc.constantFrom('e3@b1', 'e3@b2')),
    requests: fc.uniqueArray(fc.constantFrom('r1', 'r2', 'r3'), { maxLength: 2 }),
    streak: fc.nat(3),
    isProven: fc.boolean(),
    trials: fc.nat(2),
    isQuarantined: fc.boolean(),
    hour: fc.nat(3),
  });

  it('gives the same result in every order, and for repeated messages', () => {
    fc.assert(
      fc.property(suspect, suspect, suspect, (a, b, c) => {
        const left = mergeSuspects(mergeSuspects(a, b), c);
        const right = mergeSuspects(a, mergeSuspects(c, b));
        // Equal generations with different contents are merged, so the order cannot matter.
        expect(isSameSuspect(left, right)).toBe(true);
        expect(isSameSuspect(mergeSuspects(left, b), left)).toBe(true);
      }),
      { seed: 20261203, numRuns: 500 },
    );
  });
});
