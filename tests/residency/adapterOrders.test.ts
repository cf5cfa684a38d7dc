import { describe, expect, it } from 'vitest';
import {
  LOAD_OVERDUE_MS,
  MODEL_LOAD_CHECK_INTERVAL_MS,
  MODEL_LOAD_RETRY_MS,
  ORDER_RETRY_MS,
  MAX_ADAPTER_REPORT_AGE_MS,
} from '../../src/residency/constants.ts';
import { isLoadingModel } from '../../src/residency/modelOrders.ts';
import type { AdapterOrderAnswer } from '../../src/residency/types.ts';
import {
  DirectoryHost,
  newDirectoryChange,
  newEndpoint,
  newRoutingContent,
  newMembersRow,
} from '../helpers/directoryHost.ts';

const ENGINE = { id: 'e0', service: 'llm', models: ['base'] };

/** An owner of one engine with two adapter slots, before its first report. */
function createOwner(): DirectoryHost {
  const host = DirectoryHost.create().configure({ endpoints: [ENGINE] });
  host.takeEffects('readAdapterReport');
  return host;
}

function requestReservation(
  host: DirectoryHost,
  request: string,
  adapter: string,
  change: object = {},
): void {
  host.receiveMessage('h1', {
    type: 'placeAsked',
    request,
    ask: 1,
    engine: 'e0',
    adapter: adapter === '' ? '' : `base/${adapter}`,
    version: 0,
    promptTokens: 100,
    outputTokens: 10,
    remainingMs: 5_000,
    goalMs: 1_000,
    ...change,
  });
}

function report(
  host: DirectoryHost,
  sequence = 0,
  adapters: [string, number][] = [],
  models = ['base'],
): void {
  host.dispatch({
    type: 'adapterReportRead',
    engine: 'e0',
    reason: '',
    report: {
      startedAt: 1,
      sequence,
      models,
      adapters: adapters.map(([name, version]) => ({ adapter: `base/${name}`, version })),
      loading: [],
    },
  });
}

function answerOrder(host: DirectoryHost, answer: AdapterOrderAnswer): void {
  const order = host.state.residency.owned.get('e0')?.orderInFlight;
  if (order === undefined) throw new Error('no order is in flight');
  host.dispatch({ type: 'adapterOrderAnswered', engine: 'e0', epoch: 1, order, answer });
}

/** Answers the load in flight: accepted, then done at the next check. */
function load(host: DirectoryHost): void {
  answerOrder(host, { type: 'accepted' });
  host.advance(40);
  answerOrder(host, { type: 'done' });
}

function getOrders(host: DirectoryHost): string[] {
  return host
    .takeEffects('sendAdapterOrder')
    .map(({ order }) => `${order.type} ${order.adapter.slice(5)} ${order.sequence}`);
}

const LOST: AdapterOrderAnswer = { type: 'unknown', reason: 'timed out' };

describe('orders of an owner', () => {
  it('reads the report of the engine before the first order', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    expect(host.takeEffects('readAdapterReport')).toHaveLength(1);
    report(host, 3);
    expect(getOrders(host)).toEqual(['load a1 3']);
  });

  it('grants the reservation once the adapter is resident', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    report(host);
    load(host);
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeGiven', request: 'r1', engine: 'e0' }),
    );
  });

  // Guards against an engine crash: an owner that was frozen for 8 s missed the adapters that were
  // loaded meanwhile and ordered more loads than the engine has slots.
  it('reads the report of an engine with an overdue load before it issues another order', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    requestReservation(host, 'r2', 'a2');
    report(host);
    answerOrder(host, { type: 'accepted' });
    answerOrder(host, { type: 'accepted' });
    host.takeEffects('sendAdapterOrder');
    host.now += LOAD_OVERDUE_MS + 1;
    requestReservation(host, 'r3', 'a3');
    host.dispatch({ type: 'tick' });
    if (host.state.residency.owned.get('e0')?.orderInFlight !== undefined) {
      answerOrder(host, { type: 'accepted' });
    }
    expect(getOrders(host).filter((order) => order.startsWith('load a3'))).toEqual([]);
    host.advance(MAX_ADAPTER_REPORT_AGE_MS);
    expect(host.takeEffects('readAdapterReport')).toHaveLength(1);
  });

  it('backs off exponentially from an engine that refuses orders', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1', { remainingMs: 60_000 });
    report(host);
    let orders = 0;
    for (let waited = 0; waited < 5_000; waited += ORDER_RETRY_MS) {
      orders += getOrders(host).length;
      const { orderInFlight } = host.state.residency.owned.get('e0') ?? {};
      if (orderInFlight !== undefined) answerOrder(host, { type: 'refused', reason: 'refused' });
      host.advance(ORDER_RETRY_MS);
    }
    expect(orders).toBeLessThan(15);
  });

  it('does not raise the sequence for a repeated load of a loading adapter', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    report(host);
    answerOrder(host, { type: 'accepted' });
    for (let n = 0; n < 3; n++) {
      host.advance(40);
      answerOrder(host, { type: 'accepted' });
    }
    expect(host.state.residency.owned.get('e0')?.sequence).toBe(1);
  });

  it.each<[string, AdapterOrderAnswer[], number]>([
    ['it was not executed', [LOST, { type: 'accepted' }], 1],
    [
      'it is in progress, and the engine does not raise its sequence again',
      [LOST, LOST, { type: 'accepted' }],
      1,
    ],
    ['it is done already', [LOST, { type: 'done' }], 1],
  ])(
    'repeats a load whose answer was lost with the same sequence: %s',
    (_name, answers, expected) => {
      const host = createOwner();
      requestReservation(host, 'r1', 'a1');
      report(host);
      host.takeEffects('sendAdapterOrder');
      for (const answer of answers) answerOrder(host, answer);
      const repeated = getOrders(host).slice(0, answers.length - 1);
      expect(repeated).toEqual(answers.slice(1).map(() => 'load a1 0'));
      expect(host.state.residency.owned.get('e0')?.sequence).toBe(expected);
    },
  );

  it('reads the report when the engine expects another sequence', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    report(host);
    answerOrder(host, { type: 'conflict' });
    host.takeEffects('log');
    host.advance(500);
    expect(host.takeEffects('readAdapterReport')).toHaveLength(1);
    report(host, 5, [['a1', 1]]);
    expect(host.takeMessages('h1')).toContainEqual(expect.objectContaining({ type: 'placeGiven' }));
  });

  it('issues no order after the engine has seen a higher fencing number, until the members row changes', () => {
    const host = createOwner();
    requestReservation(host, 'r1', 'a1');
    report(host);
    answerOrder(host, { type: 'fenced' });
    host.takeEffects('log');
    host.advance(1_000);
    expect(getOrders(host)).toEqual([]);
    const row = newMembersRow(2, [{ host: 'h0' }]);
    host.answerDirectoryCall(
      'members',
      [newDirectoryChange('members', 30, { type: 'members', row })],
      30,
    );
    requestReservation(host, 'r2', 'a1');
    expect(getOrders(host)).toEqual(['load a1 0']);
  });

  it('never loads more adapters than there are slots, and evicts the least popular unused one', () => {
    const host = createOwner();
    report(host, 0, [
      ['a1', 1],
      ['a2', 1],
    ]);
    for (let n = 0; n < 3; n++) {
      requestReservation(host, `p${n}`, 'a1');
      host.receiveMessage('h1', {
        type: 'placeReleased',
        request: `p${n}`,
        engine: 'e0',
        result: 'ended',
      });
    }
    host.takeEffects('sendAdapterOrder');
    requestReservation(host, 'r3', 'a3');
    expect(getOrders(host)).toEqual(['unload a2 0']);
    answerOrder(host, { type: 'done' });
    expect(getOrders(host)).toEqual(['load a3 1']);
  });

  /** An owner whose engine has a reservation on each of its two slots while a third one is queued. */
  function createFullOwner(): DirectoryHost {
    const host = createOwner();
    report(host, 0, [
      ['a1', 1],
      ['a2', 1],
    ]);
    requestReservation(host, 'r1', 'a1');
    requestReservation(host, 'r2', 'a2');
    requestReservation(host, 'r3', 'a3');
    return host;
  }

  it('never evicts an adapter in use', () => {
    const host = createFullOwner();
    host.advance(500);
    expect(getOrders(host)).toEqual([]);
    host.receiveMessage('h1', {
      type: 'placeReleased',
      request: 'r2',
      engine: 'e0',
      result: 'ended',
    });
    expect(getOrders(host)).toEqual(['unload a2 0']);
  });

  it('does not evict an adapter while a cancelled request may still run on it', () => {
    const host = createFullOwner();
    host.receiveMessage('h1', {
      type: 'placeReleased',
      request: 'r2',
      engine: 'e0',
      result: 'brokenOff',
    });
    host.takeEffects('log');
    host.advance(500);
    expect(getOrders(host)).toEqual([]);
    host.advance(1_500);
    expect(getOrders(host)).toEqual(['unload a2 0']);
  });

  it('grants no reservation on an outdated version, and replaces it once no request uses it', () => {
    const host = createOwner();
    report(host, 0, [['a1', 1]]);
    requestReservation(host, 'r1', 'a1');
    host.takeEffects('log');
    host.answerDirectoryCall(
      'operator',
      [
        newDirectoryChange('version/base.a1', 30, {
          type: 'adapterVersion',
          adapter: 'base/a1',
          version: 2,
        }),
      ],
      30,
    );
    requestReservation(host, 'r2', 'a1');
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeRefused', request: 'r2', reason: 'replacing' }),
    );
    host.receiveMessage('h1', {
      type: 'placeReleased',
      request: 'r1',
      engine: 'e0',
      result: 'ended',
    });
    requestReservation(host, 'r3', 'a1');
    const [order] = host.takeEffects('sendAdapterOrder');
    expect(order?.order).toMatchObject({ type: 'load', adapter: 'base/a1', version: 2 });
  });

  // Guards against requests that stay queued until they time out: they were refused only when the
  // directory removed the engine.
  it('refuses the queued requests of an engine when another one answers at its address', () => {
    const host = DirectoryHost.create().configure({
      routes: [{ kind: 'stream', targets: [{ service: 'llm', weight: 1 }] }],
      endpoints: [ENGINE],
    });
    host.receiveForward({ labels: { model: 'base' } });
    const [sent] = host.takeEffects('sendForward');
    if (sent === undefined) throw new Error('no forward was sent');
    requestReservation(host, 'r1', 'a1');
    host.takeAllEffects();
    const { id, attempt } = sent.spec;
    const outcome = { type: 'notRun', reason: 'otherEndpoint' } as const;
    host.dispatch({ type: 'forwardEnded', id, attempt, outcome });
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeRefused', request: 'r1' }),
    );
  });

  it('refuses the queued requests for adapters that a leaving engine does not hold', () => {
    const host = createOwner();
    report(host, 4, [['a1', 1]]);
    requestReservation(host, 'r1', 'a2');
    host.takeAllEffects();
    const endpoint = newEndpoint({ ...ENGINE, isLeaving: true });
    host.answerDirectoryCall(
      'endpoints',
      [newDirectoryChange('e0', 30, { type: 'endpoint', endpoint })],
      30,
    );
    host.advance(100);
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeRefused', request: 'r1', reason: 'leaving' }),
    );
  });

  it('holds back prompts that exceed the limit of pending prefill tokens', () => {
    const host = createOwner();
    report(host);
    requestReservation(host, 'r1', '', { promptTokens: 4_000 });
    requestReservation(host, 'r2', '', { promptTokens: 4_000 });
    const getGranted = (): string[] =>
      host
        .takeMessages('h1')
        .flatMap((message) => (message.type === 'placeGiven' ? [message.request] : []));
    expect(getGranted()).toEqual(['r1']);
    host.receiveMessage('h1', { type: 'placeStarted', request: 'r1', engine: 'e0' });
    expect(getGranted()).toEqual(['r2']);
  });

  it('clears the copies of an engine that restarted', () => {
    const host = createOwner();
    report(host, 4, [['a1', 1]]);
    const endpoint = newEndpoint({ ...ENGINE, startedAt: 2, sequence: 0 });
    host.answerDirectoryCall(
      'endpoints',
      [newDirectoryChange('e0', 30, { type: 'endpoint', endpoint })],
      30,
    );
    expect(host.state.residency.owned.get('e0')?.copies.size).toBe(0);
    host.takeEffects('log');
    requestReservation(host, 'r1', 'a1');
    host.advance(500);
    expect(host.takeEffects('readAdapterReport')).toHaveLength(1);
  });

  it('issues no orders for 3.3 s after taking over an engine from a host that may still issue some', () => {
    const host = DirectoryHost.create().configure({
      endpoints: [ENGINE],
      members: [{ host: 'h1' }, { host: 'h0', isOwner: false }],
    });
    const row = newMembersRow(2, [{ host: 'h1', isOwner: false }, { host: 'h0' }]);
    host.answerDirectoryCall(
      'members',
      [newDirectoryChange('members', 30, { type: 'members', row })],
      30,
    );
    requestReservation(host, 'r1', 'a1');
    host.advance(3_200);
    expect(host.takeEffects('readAdapterReport')).toEqual([]);
    host.advance(200);
    expect(host.takeEffects('readAdapterReport')).toHaveLength(1);
  });

  it('refuses a request for an engine that it does not own', () => {
    const host = DirectoryHost.create().configure({
      endpoints: [ENGINE],
      members: [{ host: 'h2' }, { host: 'h0', isOwner: false }],
    });
    requestReservation(host, 'r1', 'a1');
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeRefused', reason: 'notOwner' }),
    );
  });
});

describe('base models', () => {
  it('loads the base model of an engine that restarted without one before any adapter', () => {
    const host = createOwner();
    const endpoint = newEndpoint({ ...ENGINE, models: [], startedAt: 2, sequence: 0 });
    host.answerDirectoryCall(
      'endpoints',
      [newDirectoryChange('e0', 30, { type: 'endpoint', endpoint })],
      30,
    );
    host.advance(500);
    report(host, 0, [], []);
    expect(host.takeEffects('sendAdapterOrder').map(({ order }) => order.adapter)).toEqual([
      'base',
    ]);
    answerOrder(host, { type: 'accepted' });
    host.advance(200);
    answerOrder(host, { type: 'conflict' });
    requestReservation(host, 'r1', 'a1');
    host.advance(200);
    answerOrder(host, { type: 'done' });
    expect(getOrders(host).at(-1)).toBe('load a1 1');
  });

  it('keeps to its share of the load rate of the weight store', () => {
    const host = DirectoryHost.create().configure({
      endpoints: [0, 1, 2].map((n) => ({ id: `e${n}`, service: 'llm', models: [] })),
    });
    const count = (): number => host.takeEffects('sendAdapterOrder').length;
    for (const engine of ['e0', 'e1', 'e2']) {
      const empty = { startedAt: 1, sequence: 0, models: [], adapters: [], loading: [] };
      host.dispatch({ type: 'adapterReportRead', engine, reason: '', report: empty });
    }
    expect(count()).toBe(1);
    host.advance(300);
    expect(count()).toBe(0);
    host.advance(300);
    expect(count()).toBe(1);
  });

  /** An owner of four engines without a base model, which usually takes 3 s to load. */
  function createLoader() {
    const ids = ['e0', 'e1', 'e2', 'e3'];
    const host = DirectoryHost.create().configure({
      endpoints: ids.map((id) => ({ id, service: 'llm', models: [] })),
    });
    host.answerDirectoryCall(
      'operator',
      [newDirectoryChange('config', 2, newRoutingContent(2, [{}], 3_000))],
      2,
    );
    const { owned } = host.state.residency;
    const report = () => {
      for (const engine of ids) {
        const empty = { startedAt: 1, sequence: 0, models: [], adapters: [], loading: [] };
        host.dispatch({ type: 'adapterReportRead', engine, reason: '', report: empty });
      }
    };
    const answer = (type: 'accepted' | 'conflict' | 'done') => {
      for (const { id, orderInFlight: order } of [...owned.values()]) {
        if (order === undefined) continue;
        host.dispatch({
          type: 'adapterOrderAnswered',
          engine: id,
          epoch: 1,
          order,
          answer: { type },
        });
      }
    };
    /** Lets the loads in progress take `ms`, with a check every 150 ms. */
    const load = (ms: number) => {
      answer('accepted');
      for (let waited = 0; waited < ms; waited += 50) {
        host.advance(50);
        answer('conflict');
      }
      host.advance(MODEL_LOAD_CHECK_INTERVAL_MS);
      answer('done');
      // The weight store allows two loads a second.
      host.advance(1_000);
    };
    const getLoading = () =>
      [...owned.values()].filter((engine) => isLoadingModel(host.state, engine, host.now));
    return { host, report, load, getLoading };
  }

  // Guards against a release whose twelve engines load at the same time: each load took 35 s instead
  // of 3 s, and for 20 s requests found no engine.
  it('are loaded one at a time, so that the first engine is usable early', () => {
    const { report, load, getLoading } = createLoader();
    report();
    expect(getLoading()).toHaveLength(1);
    const [first] = getLoading();
    load(3_000);
    expect(first?.models.has('base')).toBe(true);
  });

  it('are loaded concurrently as long as that does not slow them down', () => {
    const { host, report, load, getLoading } = createLoader();
    report();
    load(3_000);
    expect(host.state.residency.maxConcurrentModelLoads).toBe(2);
    expect(getLoading()).toHaveLength(2);
    load(6_000);
    expect(host.state.residency.maxConcurrentModelLoads).toBe(1);
    expect(getLoading()).toHaveLength(1);
  });

  // Guards against a release that loads weights on engines about to leave while new engines wait.
  it('are not loaded on a leaving engine', () => {
    const { host, report, getLoading } = createLoader();
    const ids = ['e0', 'e1', 'e2', 'e3'];
    const leaving = ids.map((id, index) => {
      const endpoint = newEndpoint({ id, service: 'llm', models: [], isLeaving: id !== 'e3' });
      return newDirectoryChange(id, 30 + index, { type: 'endpoint', endpoint });
    });
    host.answerDirectoryCall('endpoints', leaving, 40);
    report();
    expect(getLoading().map(({ id }) => id)).toEqual(['e3']);
  });

  it('wait for a load that another owner announced', () => {
    const { host, report, getLoading } = createLoader();
    const engine = {
      engine: 'far',
      epoch: 1,
      backlogMs: 0,
      running: 0,
      models: [],
      isLoadingModel: true,
      openSlots: 0,
      adapters: [],
    };
    host.receiveMessage('h1', { type: 'enginesTold', engines: [engine] });
    report();
    expect(getLoading()).toHaveLength(0);
    host.receiveMessage('h1', {
      type: 'enginesTold',
      engines: [{ ...engine, isLoadingModel: false }],
    });
    host.advance(2 * MODEL_LOAD_RETRY_MS);
    expect(getLoading()).toHaveLength(1);
  });

  it('sends no request to an engine without its base model', () => {
    const host = DirectoryHost.create().configure({
      routes: [{ kind: 'stream', targets: [{ service: 'llm', weight: 1 }] }],
      endpoints: [
        { id: 'e0', service: 'llm', models: [] },
        { id: 'e1', service: 'llm', models: ['base'] },
      ],
    });
    host.receiveForward({ labels: { model: 'base' } });
    expect(host.state.forwards.inFlight.get('f1')?.attempt?.endpoint).toBe('e1');
  });
});

describe('order of the queue', () => {
  it('serves requests that can still meet their goal first', () => {
    const host = createOwner();
    report(host);
    // Short prompts need not wait for a long one, so two of medium length fill the budget.
    requestReservation(host, 'busy', '', { promptTokens: 3_230 });
    requestReservation(host, 'busyToo', '', { promptTokens: 3_230 });
    requestReservation(host, 'late', '', { goalMs: 10 });
    requestReservation(host, 'onTime', '');
    host.takeMessages('h1');
    host.receiveMessage('h1', { type: 'placeStarted', request: 'busy', engine: 'e0' });
    const granted = host.takeMessages('h1').filter(({ type }) => type === 'placeGiven');
    expect(granted.map((message) => 'request' in message && message.request)).toEqual([
      'onTime',
      'late',
    ]);
  });
});
