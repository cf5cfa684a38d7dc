import { describe, expect, it } from 'vitest';
import { compare } from '../../bench/policy/compare.ts';
import { newWorkload } from '../../bench/policy/arrivals.ts';
import { getScenario, type ScenarioName } from '../../bench/policy/scenarios.ts';
import type { RunParameters } from '../../bench/policy/types.ts';

const parameters: RunParameters = { seed: 3, slots: 4, zipf: undefined, stallWeight: undefined };

describe('the policy bench', () => {
  // Guards against figures that cannot be reproduced from command and seed.
  it.each<{ scenario: ScenarioName }>([{ scenario: 'restart' }, { scenario: 'zone-cut' }])(
    'gives the same figures for the same seed in $scenario',
    ({ scenario }) => {
      const first = compare(getScenario(scenario), parameters);
      expect(compare(getScenario(scenario), parameters)).toEqual(first);
      expect(compare(getScenario(scenario), { ...parameters, seed: 4 })).not.toEqual(first);
    },
  );

  // Guards against a policy that orders the unload of an adapter in use (G2).
  it.each<{ scenario: ScenarioName }>([{ scenario: 'shift' }, { scenario: 'failing-loads' }])(
    'sees no eviction in use in $scenario',
    ({ scenario }) => {
      const { results } = compare(getScenario(scenario), parameters);
      expect(Object.values(results).map((result) => result.evictedInUse)).toEqual(
        Object.keys(results).map(() => 0),
      );
    },
  );

  // Guards against a sampler that ignores the exponent.
  it('concentrates requests on fewer adapters with a larger exponent', () => {
    const getAdapters = (zipf: number) =>
      new Set(newWorkload(getScenario('shift'), zipf, 1).map((job) => job.model)).size;
    expect(getAdapters(1.6)).toBeLessThan(getAdapters(0.8) / 2);
  });
});
