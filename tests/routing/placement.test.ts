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

/** A host that knows resident copies on engine `e0` in its zone and on `far` in another zone. */
function newHost(): State {
  const [state] = newLinkedHosts({
    hosts: 1,
    engines: 1,
    zone: 'z',
    changes: [far],
    otherZoneHosts: ['h9'],
  });
  if (state === undefined) throw new Error('newLinkedHosts returned no host');
  reduce(state, { type: 'linkOpened', host: 'h9' }, 0);
  for (const engine of ['e0', 'far']) addResident(state.engines, engine, 'a0@v1');
  return state;
}

describe('placement between a copy in the own zone and one in another zone', () => {
  // Guards against load reports of other zones that expire before the next one can arrive, and
  // against requests sent to another zone's engine whose load is unknown.
  it.each([
    { name: 'equal loads', near: 2, remote: 2, age: 0, expected: 'e0' },
    { name: 'a lower load in the other zone', near: 2, remote: 1, age: 0, expected: 'far' },
    {
      name: 'a lower load in the other zone after two lost messages',
      ...{ near: 2, remote: 1, age: 3 * SUMMARY_INTERVAL_MS, expected: 'far' },
    },
    {
      name: 'an expired load report of the other zone',
      ...{ near: 2, remote: 1, age: REMOTE_REPORT_MAX_AGE_MS + 1, expected: 'e0' },
    },
    { name: 'no load report of the other zone', near: 2, remote: 0, age: Infinity, expected: 'e0' },
  ])('chooses $expected with $name', ({ near, remote, age, expected }) => {
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
