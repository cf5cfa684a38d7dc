import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyRevision } from '../../src/configuration/apply.ts';
import { parseIntent } from '../../src/configuration/intent.ts';
import { newPlan } from '../../src/configuration/plan.ts';
import { getSnapshot } from '../../src/configuration/snapshot.ts';
import { type Change, Configuration, type Revision } from '../../src/configuration/types.ts';
import { ImmediateCluster } from './immediateCluster.ts';

const ORIGIN = { id: 'p1', operator: 'op', plannedAtUnixMs: 0 };
const BASE = `
adapters:
  - { name: a, firm: atlas, model: m, versions: { v1: { source: s } }, inForce: v1 }
engines:
  - { id: e1, address: "10.0.0.1:80", zone: z, pool: p, model: m, slots: 2, batch: 2, checksFencing: true }
warm: [{ adapter: a, pool: p, copies: 1 }]
shares: [{ firm: atlas, share: 0.5 }]
`;

function newRevision(revision: number, changes: Change[]): Revision {
  return { revision, changes, operator: 'op', confirmedAtUnixMs: 0, plan: `p${revision}` };
}

function newBase(): Configuration {
  const configuration = Configuration.create();
  const plan = newPlan(configuration, parseIntent(BASE).unwrap(), ORIGIN).unwrap();
  applyRevision(configuration, newRevision(1, plan.changes));
  return configuration;
}

describe('parseIntent', () => {
  it.each([
    ['adapters: [{ name: a }]', 'adapters[0].firm: '],
    ['adapters: [{ name: Bad, absent: true }]', 'adapters[0].name: lower-case'],
    ['shares: [{ firm: a, share: 2 }]', 'shares[0].share: '],
    ['warm: [{ adapter: a, pool: p, absent: true, copies: 1 }]', 'warm[0]: Unrecognized key'],
    ['engine: []', 'intent: Unrecognized key'],
    ['leaving: [e1]', 'leaving[0]: '],
    ['shares: [{ firm: a, share: 0 }, { firm: a, absent: true }]', 'shares[1]: a is named twice'],
    ['shares: [', 'not valid YAML or JSON'],
    ['- 1', 'intent: '],
  ])('names the path of the problem in %s', (text, problem) => {
    const result = parseIntent(text);
    expect(result.err && result.val.join('\n')).toContain(problem);
  });
});

describe('newPlan', () => {
  it('describes the changes and omits entries that are in force already', () => {
    const text = `${BASE.replace('copies: 1', 'copies: 2')}leaving: [{ endpoint: e1 }]`;
    const plan = newPlan(newBase(), parseIntent(text).unwrap(), ORIGIN).unwrap();
    expect(plan).toMatchObject({ baseRevision: 1, id: 'p1' });
    expect(plan.lines).toEqual([
      'change to adapter a warm in pool p: 2 copies a zone',
      'endpoint e1 leaves',
    ]);
  });

  it.each([
    ['adapters: [{ name: a, absent: true }]', 'warm a/p: adapter a does not exist'],
    ['warm: [{ adapter: a, pool: q, copies: 1 }]', 'pool q has no engine'],
    ['warm: [{ adapter: b, pool: p, copies: 1 }]', 'adapter b does not exist'],
    ['shares: [{ firm: corail, share: 0.6 }]', 'shares add up to 1.1'],
    ['leaving: [{ endpoint: e9 }]', 'leaving e9: the endpoint does not exist'],
    ['roles: [{ engine: e9, role: mixed }]', 'role e9: the engine does not exist'],
    ['engines: [{ id: e1, absent: true }]', 'engine e1: must be leaving'],
    [
      'adapters: [{ name: b, firm: f, model: m, versions: { v1: { source: s } }, inForce: v2 }]',
      'adapter b: inForce names version v2',
    ],
    [
      'services: [{ name: s, endpoints: [{ id: e1, address: "10.0.0.1:80", zone: z }], repeatable: [] }]',
      'endpoint id e1 is used twice',
    ],
  ])('refuses %s', (text, problem) => {
    const result = newPlan(newBase(), parseIntent(text).unwrap(), ORIGIN);
    expect(result.err && result.val.join('\n')).toContain(problem);
  });
});

describe('revisions', () => {
  it('end in the same configuration in any order and with duplicates', () => {
    const change = fc.oneof(
      fc.record({
        type: fc.constant('putShare' as const),
        firm: fc.constantFrom('a', 'b'),
        share: fc.constantFrom(0, 0.1, 0.2),
      }),
      fc.record({ type: fc.constant('removeShare' as const), firm: fc.constantFrom('a', 'b') }),
      fc.record({ type: fc.constant('putLeaving' as const), endpoint: fc.constantFrom('e', 'f') }),
      fc.record({ type: fc.constant('removeLeaving' as const), endpoint: fc.constant('e') }),
    );
    const changes = fc.array(fc.array(change, { maxLength: 3 }), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(changes, fc.infiniteStream(fc.nat()), (lists, order) => {
        const revisions = lists.map((list, index) => newRevision(index + 1, list));
        const expected = Configuration.create();
        for (const revision of revisions) applyRevision(expected, revision);
        const cluster = ImmediateCluster.create('h1', 'h2');
        cluster.dropsMessages = true;
        let highest = 0;
        const { configuration } = cluster.getState('h2');
        const push = (revision: Revision) => {
          cluster.send('h1', 'h2', { type: 'revisionPushed', revision });
          expect(configuration.revision).toBeGreaterThanOrEqual(highest);
          highest = configuration.revision;
        };
        for (const pick of order.take(20)) {
          const revision = revisions[pick % revisions.length];
          if (revision !== undefined) push(revision);
        }
        revisions.forEach(push);
        expect(getSnapshot(configuration)).toEqual(getSnapshot(expected));
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});
