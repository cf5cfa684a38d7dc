import { describe, expect, it } from 'vitest';
import { compare } from '../../bench/policy/compare.ts';
import { newWorkload } from '../../bench/policy/arrivals.ts';
import { getScenario, type ScenarioName } from '../../bench/policy/scenarios.ts';
import type { RunParameters } from '../../bench/policy/types.ts';

const parameters: RunParameters = { seed: 3, slots: 4, zipf: undefined, stallWeight: undefined };

describe('the policy bench', () => {
  // Guards against results that command and seed do not reproduce.
  it.each<{ scenario: ScenarioName }>([{ scenario: 'restart' }, { scenario: 'zone-cut' }])(
    'gives the same results for the same seed in $scenario',
    ({ scenario }) => {
      const first = compare(getScenario(scenario), parameters);
      expect(compare(getScenario(scenario), parameters)).toEqual(first);
      expect(compare(getScenario(scenario), { ...parameters, seed: 4 })).not.toEqual(first);
    },
  );

  // Guards against a policy that unloads an adapter in use (G2).
  it.each<{ scenario: ScenarioName }>([{ scenario: 'shift' }, { scenario: 'failing-loads' }])(
    'evicts no adapter in use in $scenario',
    ({ scenario }) => {
      const { results } = compare(getScenario(scenario), parameters);
      expect(Object.values(results).map((result) => result.evictedInUse)).toEqual(
        Object.keys(results).map(() => 0),
      );
    },
  );

  // Guards against a sampler that ignores the Zipf exponent.
  it('concentrates requests on fewer adapters with a larger exponent', () => {
    const getAdapters = (zipf: number) =>
      new Set(newWorkload(getScenario('shift'), zipf, 1).map((request) => request.model)).size;
    expect(getAdapters(1.6)).toBeLessThan(getAdapters(0.8) / 2);
  });
});
