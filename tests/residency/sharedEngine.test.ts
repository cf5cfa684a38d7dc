import { describe, expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { PREFILL_TOKENS_PER_MS } from '../../src/residency/constants.ts';
import { getOverusers } from '../../src/residency/tenantShares.ts';
import type { Tenant } from '../../src/routes/types.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

const GOAL_MS = 1_000;
const PROMPT_TOKENS = 1_200;
const READ_MS = PROMPT_TOKENS / PREFILL_TOKENS_PER_MS;
/** Requests per second that the engine can start. */
const CAPACITY_PER_S = 1_000 / READ_MS;
const DURATION_MS = 30_000;

function newTenant(name: string, priority: number | undefined): Tenant {
  const quota = { unit: 'token' as const, defaultTokens: 0, ratePerS: 10_000, burst: 10_000 };
  return { name, keyDigests: [name], priority, ...quota };
}

/** Requests per second of a group of callers, its tenant (none on a public route) and the rank of its requests. */
interface Load {
  tenant: string | undefined;
  rank: number;
  perS: number;
}

/** Plays loads on an engine that reads prompts one after another; returns the share served on time. */
function play(loads: readonly Load[], seed = 3): number[] {
  const tenants = new Set(loads.flatMap(({ tenant }) => tenant ?? []));
  const host = DirectoryHost.create().configure({
    endpoints: [{ id: 'e0', service: 'llm', models: ['base'] }],
    tenants: [...tenants].map((tenant) => newTenant(tenant, undefined)),
  });
  const random = Random.create(seed);
  const nextAt = loads.map(() => host.now);
  const arrivedAt = new Map<string, number>();
  const sent = loads.map(() => 0);
  const onTime = loads.map(() => 0);
  const starts: { at: number; request: string }[] = [];
  let freeAt = host.now;
  const until = host.now + DURATION_MS;
  while (host.now < until) {
    host.advance(5);
    loads.forEach(({ tenant, rank: priority, perS }, index) => {
      for (; (nextAt[index] ?? 0) <= host.now;) {
        nextAt[index] = (nextAt[index] ?? 0) - (Math.log(1 - random.getFraction()) * 1_000) / perS;
        const request = `${index}-${sent[index] ?? 0}`;
        sent[index] = (sent[index] ?? 0) + 1;
        arrivedAt.set(request, host.now);
        const message = { type: 'placeAsked' as const, request, ask: 1, engine: 'e0', adapter: '' };
        const size = { version: 0, promptTokens: PROMPT_TOKENS, outputTokens: 10 };
        const times = { remainingMs: 5_000, goalMs: GOAL_MS };
        host.receiveMessage('h1', { ...message, ...size, ...times, priority, tenant });
      }
    });
    for (const message of host.takeMessages('h1')) {
      if (message.type !== 'placeGiven') continue;
      freeAt = Math.max(freeAt, host.now) + READ_MS;
      starts.push({ at: freeAt, request: message.request });
    }
    for (const due of starts.filter(({ at }) => at <= host.now)) {
      starts.splice(starts.indexOf(due), 1);
      const { request } = due;
      const index = Number(request.split('-')[0]);
      if (host.now - (arrivedAt.get(request) ?? 0) <= GOAL_MS)
        onTime[index] = (onTime[index] ?? 0) + 1;
      host.receiveMessage('h1', { type: 'placeStarted', request, engine: 'e0' });
      host.receiveMessage('h1', { type: 'placeReleased', request, engine: 'e0', result: 'ended' });
    }
  }
  return onTime.map((count, index) => count / (sent[index] ?? 1));
}

const USUAL_PER_S = 0.2 * CAPACITY_PER_S;
const TENANTS = ['a', 'b', 'c', 'd'];

// Guards against one tenant that takes the room of all others.
it('a tenant with 7.5 times its usual costs the others little', () => {
  const usual = play(TENANTS.map((tenant) => ({ tenant, rank: 0, perS: USUAL_PER_S })));
  const hot = play(
    TENANTS.map((tenant) => ({ tenant, rank: 0, perS: USUAL_PER_S * (tenant === 'a' ? 7.5 : 1) })),
  );
  for (const index of [1, 2, 3])
    expect(hot[index]).toBeGreaterThanOrEqual(0.95 * (usual[index] ?? 1));
  // What the others leave is its own.
  expect(hot[0]).toBeGreaterThanOrEqual(0.1);
});

// Guards against a kind of request that is served less often than a less urgent one.
describe('of twice as many requests as an engine starts', () => {
  it.each<[string, number[], number[]]>([
    ['the more urgent half is served', [0, 1], [0.95, 0]],
    ['the most urgent third, then the next', [0, 1, 2], [0.95, 0.3, 0]],
  ])('%s', (_name, ranks, least) => {
    const perS = (2 * CAPACITY_PER_S) / ranks.length;
    const share = Math.min(perS, 0.9 * CAPACITY_PER_S);
    const served = play(ranks.map((rank) => ({ tenant: 'a', rank, perS: share })));
    least.forEach((bound, index) => expect(served[index]).toBeGreaterThanOrEqual(bound));
    expect([...served].sort((a, b) => b - a)).toEqual(served);
  });
});

// Guards against requests on public routes that go before all tenants, whatever their rank.
it('requests without a tenant have their rank as well', () => {
  const perS = 0.9 * CAPACITY_PER_S;
  const [urgent, open] = play([
    { tenant: 'a', rank: 0, perS },
    { tenant: undefined, rank: 11, perS },
  ]);
  expect(urgent).toBeGreaterThanOrEqual(0.95);
  expect(open).toBeLessThan(urgent ?? 0);
});

// Guards against a small tenant that is passed over for good.
it('a tenant that asks for little beside a large one is served', () => {
  const [, small] = play([
    { tenant: 'large', rank: 0, perS: 3 * CAPACITY_PER_S },
    { tenant: 'small', rank: 0, perS: 0.02 * CAPACITY_PER_S },
  ]);
  expect(small).toBeGreaterThanOrEqual(0.95);
});

// Guards against tenants that are held back without need.
describe('tenants over their share', () => {
  it.each<[string, [number, number][], string[]]>([
    [
      'none while nothing is used',
      [
        [0, 1],
        [0, 1],
      ],
      [],
    ],
    [
      'none of equals',
      [
        [10, 1],
        [10, 1],
      ],
      [],
    ],
    [
      'the one that used far more',
      [
        [100, 1],
        [10, 1],
      ],
      ['t0'],
    ],
    [
      'none that may use more',
      [
        [100, 9],
        [10, 1],
      ],
      [],
    ],
    [
      'the small one that used as much as a large one',
      [
        [10, 1],
        [10, 9],
      ],
      ['t0'],
    ],
  ])('%s', (_name, uses, expected) => {
    const weighted = uses.map(([units, weight], index) => ({ tenant: `t${index}`, units, weight }));
    expect([...getOverusers(weighted)]).toEqual(expected);
  });
});
