import { describe, expect, it } from 'vitest';
import { parseIntent } from '../../src/configuration/intent.ts';
import type { Plan } from '../../src/configuration/plan.ts';
import { REVISION_PREFIX } from '../../src/configuration/constants.ts';
import { isReady } from '../../src/core/lifecycle.ts';
import type { OperatorAnswer } from '../../src/operators/types.ts';
import { ImmediateCluster, type TableFault } from './immediateCluster.ts';

function makePlan(cluster: ImmediateCluster, host: string, text: string, operator = 'op'): string {
  const answer = cluster.sendCommand(
    host,
    { type: 'makePlan', intent: parseIntent(text).unwrap() },
    operator,
  );
  if (answer?.type !== 'done') throw new Error(JSON.stringify(answer));
  return (answer.body as Plan).id;
}

function confirm(cluster: ImmediateCluster, host: string, plan: string, operator = 'op') {
  return cluster.sendCommand(host, { type: 'confirmPlan', plan }, operator);
}

function putShare(share: number, firm = 'atlas'): string {
  return `shares: [{ firm: ${firm}, share: ${share} }]`;
}

const done = (revision: number) => ({ type: 'done', body: { revision } });

describe('confirm', () => {
  it('refuses the second of two concurrent operators and lists what changed', () => {
    const cluster = ImmediateCluster.create('h1', 'h2');
    const first = makePlan(cluster, 'h1', putShare(0.4), 'amina');
    const second = makePlan(cluster, 'h2', putShare(0.6), 'bruno');
    expect(confirm(cluster, 'h2', first, 'amina')).toMatchObject(done(1));
    const refused = confirm(cluster, 'h1', second, 'bruno');
    expect(refused).toMatchObject({
      type: 'refused',
      failure: { kind: 'stale_plan', outcome: 'not_run' },
      details: ['revision 1 by amina: set share of firm atlas: 0.4'],
    });
    for (const state of cluster.states.values()) {
      expect(state.configuration.shares.get('atlas')).toBe(0.4);
    }
  });

  it('gives the same answer when it is repeated, also on another host', () => {
    const cluster = ImmediateCluster.create('h1', 'h2');
    const plan = makePlan(cluster, 'h1', putShare(0.4));
    confirm(cluster, 'h1', plan);
    confirm(cluster, 'h1', makePlan(cluster, 'h1', putShare(0.5)));
    expect(confirm(cluster, 'h2', plan)).toMatchObject(done(1));
    expect([...cluster.rows.keys()].filter((key) => key.startsWith('audit/'))).toHaveLength(2);
    expect(cluster.getState('h2').configuration).toMatchObject({ revision: 2 });
  });

  // Guards against reporting a lost answer as a failure, which makes operators apply a change twice
  // or not at all.
  it.each<[string, TableFault, OperatorAnswer['type'], number]>([
    ['took effect', (call) => (call.type === 'write' ? 'late' : undefined), 'done', 1],
    ['had no effect, and the next one works', newFaultOnce('lost'), 'done', 1],
    ['is never known', (call) => (call.type === 'write' ? 'lost' : undefined), 'refused', 0],
    ['is followed by an outage', newFaultOnce('late', 'down'), 'refused', 0],
  ])('resolves a write whose answer was lost and that %s', (_name, fault, type, revision) => {
    const cluster = ImmediateCluster.create('h1');
    const plan = makePlan(cluster, 'h1', putShare(0.4));
    cluster.fault = fault;
    confirm(cluster, 'h1', plan);
    cluster.advance(15_000);
    const answer = [...cluster.answers.values()].at(-1);
    expect(answer?.type).toBe(type);
    expect(cluster.getState('h1').configuration.revision).toBe(revision);
    if (answer?.type === 'refused') expect(answer.failure.kind).toBe('outcome_unknown');
    cluster.fault = () => undefined;
    expect(confirm(cluster, 'h1', plan)).toMatchObject(done(1));
  });

  it.each<[string, TableFault, string]>([
    ['while the table is down', () => 'down', 'store_unavailable'],
    ['of a plan that does not exist', () => undefined, 'not_found'],
  ])('is refused %s', (_name, fault, kind) => {
    const cluster = ImmediateCluster.create('h1');
    cluster.fault = fault;
    const answer = confirm(cluster, 'h1', 'no-plan');
    expect(answer).toMatchObject({ type: 'refused', failure: { kind, outcome: 'not_run' } });
  });
});

describe('replication of the configuration', () => {
  it('reaches hosts by push, and by polling when messages are lost', () => {
    const cluster = ImmediateCluster.create('h1', 'h2', 'h3');
    confirm(cluster, 'h1', makePlan(cluster, 'h1', putShare(0.1)));
    expect(getRevisions(cluster)).toEqual([1, 1, 1]);
    cluster.dropsMessages = true;
    confirm(cluster, 'h1', makePlan(cluster, 'h1', putShare(0.2)));
    cluster.advance(5_000);
    expect(getRevisions(cluster)).toEqual([2, 2, 2]);
  });

  it('starts a host from the snapshot and the revisions after it', () => {
    const cluster = ImmediateCluster.create('h1');
    for (let i = 1; i <= 203; i++) {
      confirm(cluster, 'h1', makePlan(cluster, 'h1', putShare(i / 1000)));
    }
    cluster.advance(100);
    expect([...cluster.objects.keys()]).toEqual(['configuration/snapshot/000000000200']);
    cluster.dropsMessages = true;
    const scans: string[] = [];
    cluster.fault = (call) => {
      if (call.type === 'scan' && call.prefix === REVISION_PREFIX) scans.push(call.after);
      return undefined;
    };
    const late = cluster.addHost('h2');
    expect(isReady(late)).toBe(false);
    cluster.advance(1_000);
    expect(late.configuration).toMatchObject({ revision: 203 });
    expect(late.configuration.shares.get('atlas')).toBe(0.203);
    expect(scans).toEqual(['configuration/change/000000000200']);
    expect(isReady(late)).toBe(true);
  });

  it('starts a host from its peers while the table is down', () => {
    const cluster = ImmediateCluster.create('h1');
    const intent = Array.from({ length: 1_200 }, (_, i) => `{ caller: c${i}, priority: 1 }`);
    confirm(cluster, 'h1', makePlan(cluster, 'h1', `callers: [${intent.join(',')}]`));
    cluster.advance(1_000);
    cluster.fault = () => 'down';
    const late = cluster.addHost('h2');
    cluster.advance(1_000);
    expect(late.configuration.callerPriorities.size).toBe(1_200);
    expect(isReady(late)).toBe(true);
  });
});

function newFaultOnce(first: 'lost' | 'late', then?: 'down'): TableFault {
  let isFirst = true;
  return (call) => {
    if (call.type === 'write' && isFirst) {
      isFirst = false;
      return first;
    }
    return isFirst ? undefined : then;
  };
}

function getRevisions(cluster: ImmediateCluster): number[] {
  return [...cluster.states.values()].map(({ configuration }) => configuration.revision);
}
