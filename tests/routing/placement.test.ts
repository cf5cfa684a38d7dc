import { describe, expect, it } from 'vitest';
import type { Change } from '../../src/configuration/types.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { REMOTE_REPORT_MAX_AGE_MS } from '../../src/engines/constants.ts';
import { SUMMARY_INTERVAL_MS } from '../../src/membership/constants.ts';
import { addResident, getOrCreateEngineView } from '../../src/engines/views.ts';
import { newLinkedHosts } from '../grants/linkedHosts.ts';
import { newRequest } from '../helpers/engines.ts';

const NOW = 100_000;
const far: Change = {
  type: 'putEngine',
  engine: {
    ...{ id: 'far', address: '127.0.0.1:9100', zone: 'y', pool: 'p', model: 'm' },
    ...{ slots: 2, batch: 4, checksFencing: true },
  },
};

/** A host with a resident copy on the engine `e0` of its zone and on `far` in another zone. */
function newHost(): State {
  const [state] = newLinkedHosts({
    hosts: 1,
    engines: 1,
    zone: 'z',
    changes: [far],
    otherZoneHosts: ['h9'],
  });
  if (state === undefined) throw new Error('the fleet is empty');
  reduce(state, { type: 'linkOpened', host: 'h9' }, 0);
  for (const engine of ['e0', 'far']) addResident(state.engines, engine, 'a0@v1');
  return state;
}

describe('the choice between a copy of the own zone and one of another zone', () => {
  // Guards against reports of other zones that count as old before the next one can arrive, and
  // against requests that leave the zone for an engine of which nothing is known.
  it.each([
    { name: 'equal loads', near: 2, remote: 2, age: 0, expected: 'e0' },
    { name: 'a lower load elsewhere', near: 2, remote: 1, age: 0, expected: 'far' },
    {
      name: 'a lower load elsewhere of which two messages were lost',
      ...{ near: 2, remote: 1, age: 3 * SUMMARY_INTERVAL_MS, expected: 'far' },
    },
    {
      name: 'a load elsewhere that is too old',
      ...{ near: 2, remote: 1, age: REMOTE_REPORT_MAX_AGE_MS + 1, expected: 'e0' },
    },
    { name: 'no report from elsewhere', near: 2, remote: 0, age: Infinity, expected: 'e0' },
  ])('by $name takes $expected', ({ near, remote, age, expected }) => {
    const state = newHost();
    Object.assign(getOrCreateEngineView(state.engines, 'e0'), { running: near, reportedAt: NOW });
    Object.assign(getOrCreateEngineView(state.engines, 'far'), {
      running: remote,
      reportedAt: NOW - age,
    });
    const request = newRequest('r', { adapter: 'a0', deadline: NOW + 60_000 });
    reduce(state, { type: 'requestArrived', request }, NOW);
    expect(state.requests.inFlight.get('r')?.pendingGrant?.engine).toBe(expected);
  });
});
