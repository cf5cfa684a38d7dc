import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { newLinkedHosts } from './linkedHosts.ts';

type Order = Extract<Effect, { type: 'orderEngine' }>;
type Sent = Extract<Effect, { type: 'sendMessage' }> & { from: string };

interface Attempt {
  host: State;
  id: string;
  attempt: string;
  engine: string;
  model: string;
}

type Step =
  | { type: 'wait'; ms: number }
  | { type: 'arrive'; host: number; adapter: number; kind: 'urgent' | 'ordinary' | 'draft' }
  | { type: 'deliver'; index: number; delivery: 'once' | 'twice' | 'lost' }
  | { type: 'answerOrder'; isDone: boolean }
  | { type: 'end'; index: number; isBroken: boolean }
  | { type: 'report'; engine: number };

/** Most messages arrive once, so that requests get far enough to need evictions. */
const DELIVERIES = ['once', 'once', 'once', 'once', 'once', 'once', 'twice', 'lost'] as const;
const index = fc.constantFrom(0, 0, 0, 1, 5);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('wait' as const), ms: fc.constantFrom(50, 600, 2_500) }),
  fc.record({
    type: fc.constant('arrive' as const),
    host: fc.nat({ max: 1 }),
    adapter: fc.nat({ max: 4 }),
    kind: fc.constantFrom('urgent' as const, 'ordinary' as const, 'draft' as const),
  }),
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('deliver' as const),
      index,
      delivery: fc.constantFrom(...DELIVERIES),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('answerOrder' as const),
      isDone: fc.constantFrom(true, true, true, false),
    }),
  },
  fc.record({ type: fc.constant('end' as const), index, isBroken: fc.boolean() }),
  fc.record({ type: fc.constant('report' as const), engine: fc.nat({ max: 1 }) }),
);

/** Two hosts and two engines; checks every unload order against the attempts that run. */
class World {
  readonly hosts = newLinkedHosts({ hosts: 2, engines: 2, slots: 2, batch: 3, adapters: 5 });
  readonly residents = new Map([
    ['e0', new Set<string>()],
    ['e1', new Set<string>()],
  ]);
  private now = 0;
  private arrived = 0;
  private sent: Sent[] = [];
  private orders: { host: State; order: Order }[] = [];
  private attempts: Attempt[] = [];
  /** Reports that were taken and not delivered yet. */
  private reports: { engine: string; event: Event }[] = [];
  unloads = 0;

  run(current: Step): void {
    if (current.type === 'wait') this.advance(current.ms);
    if (current.type === 'arrive') this.arrive(current);
    if (current.type === 'deliver') this.deliver(current);
    if (current.type === 'answerOrder') this.answerOrder(current.isDone);
    if (current.type === 'end') this.end(current);
    if (current.type === 'report') this.report(`e${current.engine}`);
  }

  private advance(ms: number): void {
    this.now += ms;
    for (const host of this.hosts) this.feed(host, { type: 'tick' });
  }

  private arrive({ host, adapter, kind }: Extract<Step, { type: 'arrive' }>): void {
    const state = this.hosts[host];
    if (state === undefined) return;
    this.feed(state, {
      type: 'requestArrived',
      request: {
        id: `r${this.arrived++}`,
        firm: 'f',
        caller: 'c',
        kind,
        adapter: `a${adapter}`,
        version: undefined,
        deadline: this.now + 20_000,
        fingerprint: 'x',
        maxTokens: 8,
        draft: undefined,
      },
    });
  }

  private deliver({ index: at, delivery }: Extract<Step, { type: 'deliver' }>): void {
    const [sent] = this.sent.splice(at % Math.max(1, this.sent.length), 1);
    const target = this.hosts.find(({ host }) => host.id === sent?.to);
    if (sent === undefined || target === undefined || delivery === 'lost') return;
    const { from, message } = sent;
    const times = delivery === 'twice' ? 2 : 1;
    for (let time = 0; time < times; time++) {
      this.feed(target, { type: 'messageReceived', from, message });
    }
  }

  private answerOrder(isDone: boolean): void {
    const given = this.orders.shift();
    if (given === undefined) return;
    const { engine, epoch, order } = given.order;
    if (order.type === 'load' && isDone) this.residents.get(engine)?.add(order.model);
    if (order.type === 'unload') this.residents.get(engine)?.delete(order.model);
    this.feed(given.host, {
      type: 'orderAnswered',
      engine,
      epoch,
      order,
      answer: isDone ? { type: 'done' } : { type: 'failed', reason: 'x' },
    });
  }

  private end({ index: at, isBroken }: Extract<Step, { type: 'end' }>): void {
    const [attempt] = this.attempts.splice(at % Math.max(1, this.attempts.length), 1);
    if (attempt === undefined) return;
    const { host, id, model } = attempt;
    const [adapter = '', version = ''] = model.split('@');
    this.feed(host, {
      type: 'attemptEnded',
      id,
      attempt: attempt.attempt,
      outcome: isBroken
        ? { type: 'broken', reason: 'x' }
        : { type: 'completed', adapter, version, tokens: 1 },
    });
  }

  /** Takes a report and delivers the previous one, so that each arrives late. */
  private report(engine: string): void {
    const running: Record<string, number> = {};
    for (const attempt of this.attempts) {
      if (attempt.engine === engine) running[attempt.model] = (running[attempt.model] ?? 0) + 1;
    }
    const residents = [...(this.residents.get(engine) ?? [])];
    const report = { bootId: '1', running, waiting: 0, slots: 2, residents };
    this.reports.push({ engine, event: { type: 'engineReported', engine, report } });
    if (this.reports.length < 2) return;
    const late = this.reports.shift();
    const owner = this.hosts.find((host) => host.grants.owned.has(late?.engine ?? ''));
    if (late !== undefined && owner !== undefined) this.feed(owner, late.event);
  }

  private feed(host: State, event: Event): void {
    for (const effect of reduce(host, event, this.now)) {
      if (effect.type === 'sendMessage') this.sent.push({ ...effect, from: host.host.id });
      if (effect.type === 'cancelAttempt') {
        this.attempts = this.attempts.filter(({ attempt }) => attempt !== effect.attempt);
      }
      if (effect.type === 'startAttempt') this.attempts.push({ host, ...effect.spec });
      if (effect.type === 'orderEngine') this.order(host, effect);
    }
  }

  private order(host: State, effect: Order): void {
    this.orders.push({ host, order: effect });
    const { engine, order } = effect;
    if (order.type !== 'unload') return;
    this.unloads += 1;
    const users = this.attempts.filter(
      (attempt) => attempt.engine === engine && attempt.model === order.model,
    );
    expect(users, `unload of ${order.model} on ${engine}`).toEqual([]);
  }
}

describe('unload orders', () => {
  // An adapter in use must not be evicted (G2) under lost, duplicated and reordered messages,
  // failed orders and late reports.
  it('never name an adapter that a request uses', () => {
    let unloads = 0;
    fc.assert(
      fc.property(fc.array(step, { minLength: 50, maxLength: 300 }), (steps) => {
        const world = new World();
        for (const current of steps) world.run(current);
        unloads += world.unloads;
      }),
      { seed: 20261203, numRuns: 1_200 },
    );
    expect(unloads).toBeGreaterThan(100);
  });
});
