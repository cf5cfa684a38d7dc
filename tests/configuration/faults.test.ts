import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import { parseIntent } from '../../src/configuration/intent.ts';
import type { Plan } from '../../src/configuration/plan.ts';
import { getSnapshot } from '../../src/configuration/snapshot.ts';
import { ImmediateCluster, type TableFault } from './immediateCluster.ts';

const HOSTS = ['h1', 'h2', 'h3'];
const FAULTS: Record<string, TableFault> = {
  none: () => undefined,
  down: () => 'down',
  lost: (call) => (call.type === 'write' ? 'lost' : undefined),
  delayed: (call) => (call.type === 'write' ? 'delayed' : undefined),
  late: (call) => (call.type === 'write' ? 'late' : undefined),
};

const Step = fc.oneof(
  fc.record({
    type: fc.constant('plan' as const),
    host: fc.constantFrom(...HOSTS),
    value: fc.nat(9),
  }),
  fc.record({
    type: fc.constant('confirm' as const),
    host: fc.constantFrom(...HOSTS),
    plan: fc.nat(9),
  }),
  fc.record({ type: fc.constant('fault' as const), name: fc.constantFrom(...Object.keys(FAULTS)) }),
  fc.record({ type: fc.constant('messages' as const), areDropped: fc.boolean() }),
  fc.record({ type: fc.constant('hold' as const) }),
  fc.record({ type: fc.constant('release' as const), pick: fc.nat(5) }),
  fc.record({ type: fc.constant('release' as const), pick: fc.nat(5) }),
  fc.record({ type: fc.constant('applyDelayed' as const) }),
  fc.record({ type: fc.constant('wait' as const), ms: fc.constantFrom(100, 600, 12_000) }),
);

describe('operators on several hosts during faults', () => {
  // Guards against two plans in one revision, a plan that is applied twice, and hosts whose
  // configurations differ after the faults.
  it('end with the same history on all hosts', () => {
    fc.assert(
      fc.property(fc.array(Step, { maxLength: 60, size: 'max' }), (steps) => {
        const cluster = ImmediateCluster.create(...HOSTS);
        const highest = new Map<string, number>();
        for (const step of steps) {
          if (step.type === 'fault') cluster.fault = FAULTS[step.name] ?? (() => undefined);
          if (step.type === 'messages') cluster.dropsMessages = step.areDropped;
          if (step.type === 'hold') cluster.holdsTableCalls = true;
          if (step.type === 'release') cluster.releaseCall(step.pick);
          if (step.type === 'applyDelayed') cluster.applyDelayedWrites();
          if (step.type === 'wait') cluster.advance(step.ms);
          if (step.type === 'plan') {
            const intent = parseIntent(
              `callers: [{ caller: c, priority: ${step.value} }]`,
            ).unwrap();
            cluster.sendCommand(step.host, { type: 'makePlan', intent });
          }
          const plans = getPlans(cluster);
          const plan = step.type === 'confirm' ? plans[step.plan % plans.length] : undefined;
          if (step.type === 'confirm' && plan !== undefined) {
            cluster.sendCommand(step.host, { type: 'confirmPlan', plan });
          }
          for (const [host, { configuration }] of cluster.states) {
            expect(configuration.revision).toBeGreaterThanOrEqual(highest.get(host) ?? 0);
            highest.set(host, configuration.revision);
          }
        }
        cluster.fault = () => undefined;
        cluster.releaseAllCalls();
        cluster.applyDelayedWrites();
        cluster.advance(30_000);
        const rows = [...cluster.rows].filter(([key]) => key.startsWith('configuration/change/'));
        const appliedPlans = rows.map(([, { value }]) => (value as { plan: string }).plan);
        expect(new Set(appliedPlans).size).toBe(appliedPlans.length);
        const [first, ...others] = [...cluster.states.values()].map(({ configuration }) =>
          getSnapshot(configuration),
        );
        expect(first?.revision).toBe(rows.length);
        for (const other of others) expect(other).toEqual(first);
        for (const [id, answer] of cluster.answers) {
          if (answer.type !== 'done' || !isConfirmed(answer.body)) continue;
          const command = cluster.commands.get(id);
          const requestedPlan = command?.type === 'confirmPlan' ? command.plan : undefined;
          expect(appliedPlans[answer.body.revision - 1]).toBe(requestedPlan);
        }
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});

describe('polling of the head', () => {
  // If all of 390 hosts polled at the short interval, they would use up the table's read limit.
  it('is fast on two hosts of a zone only', () => {
    const cluster = ImmediateCluster.create('h0');
    const intent = parseIntent('shares: [{ firm: a, share: 1 }]').unwrap();
    const answer = cluster.sendCommand('h0', { type: 'makePlan', intent });
    const plan = answer?.type === 'done' ? (answer.body as Plan).id : '';
    cluster.sendCommand('h0', { type: 'confirmPlan', plan });
    const ids = ['h0', 'h1', 'h2', 'h3', 'h4', 'h5'];
    for (const id of ids.slice(1)) cluster.addHost(id);
    cluster.advance(1_000);
    const reads = ids.map((id) => {
      const state = cluster.getState(id);
      for (const host of ids) state.membership.hosts.set(host, newEntry(host));
      let count = 0;
      for (let now = cluster.now + 10_000; now <= cluster.now + 20_000; now += 100) {
        const effects = reduce(state, { type: 'tick' }, now);
        count += effects.filter(isHeadRead).length;
        const answered = { type: 'missing' } as const;
        reduce(
          state,
          { type: 'tableAnswered', purpose: { type: 'readHead' }, answer: answered, sentAt: now },
          now,
        );
      }
      return count;
    });
    expect(reads.filter((count) => count >= 19)).toHaveLength(2);
    expect(reads.filter((count) => count <= 3)).toHaveLength(4);
  });
});

function getPlans(cluster: ImmediateCluster): string[] {
  return [...cluster.answers.values()].flatMap((answer) =>
    answer.type === 'done' && !isConfirmed(answer.body) ? [(answer.body as Plan).id] : [],
  );
}

function isHeadRead(effect: Effect): boolean {
  return effect.type === 'callTable' && effect.purpose.type === 'readHead';
}

function isConfirmed(body: unknown): body is { plan: string; revision: number } {
  return typeof body === 'object' && body !== null && 'revision' in body && 'plan' in body;
}

function newEntry(host: string) {
  return {
    host,
    zone: 'z',
    region: 'r',
    address: '127.0.0.1:1',
    incarnation: 1,
    revision: 1,
    state: 'live' as const,
    protocol: 1,
    configurationRevision: 0,
  };
}
