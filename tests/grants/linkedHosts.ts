import { applyRevision } from '../../src/configuration/apply.ts';
import type { Change } from '../../src/configuration/types.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import { setZoneRows } from '../../bench/policy/ownership.ts';

interface LinkedHostsOptions {
  hosts: number;
  engines: number;
  loadsPerS?: number;
  slots?: number;
  batch?: number;
  adapters?: number;
  changes?: Change[];
  /** Zone of the engines, and additional hosts in that zone. */
  zone?: string;
  owners?: string[];
  /** Additional hosts in zone `y`. */
  otherZoneHosts?: string[];
}

/** Returns the states of linked hosts `h0`, `h1`, ... that own engines `e0`, `e1`, ... */
export function newLinkedHosts(options: LinkedHostsOptions): State[] {
  const { hosts, engines, loadsPerS = 100, slots = 2, batch = 4, adapters = 4 } = options;
  const { zone = 'z', owners = [], otherZoneHosts = [] } = options;
  const ids = Array.from({ length: hosts }, (_, index) => `h${index}`);
  const states = ids.map((id, index) => {
    const state = State.create({
      host: { id, zone: 'z', region: 'r', address: '127.0.0.1:1', incarnation: 1 },
      policy: {
        stallWeight: 0.5,
        loadsPerS,
        maxRequestsPerCaller: 1_000,
        maxRequests: 1_000,
        lameDuckMs: 0,
      },
      randomSeed: index,
    });
    const changes = [
      ...getChanges(engines, adapters, slots, batch, zone),
      ...(options.changes ?? []),
    ];
    applyRevision(state.configuration, {
      revision: 1,
      operator: 'o',
      plan: 'p',
      confirmedAtUnixMs: 0,
      changes,
    });
    return state;
  });
  for (const state of states) {
    for (const host of ids) {
      if (host !== state.host.id) reduce(state, { type: 'linkOpened', host }, 0);
    }
    setZoneRows(state, [
      ...ids.map((id) => ({ id, zone: 'z' })),
      ...owners.map((id) => ({ id, zone })),
      ...otherZoneHosts.map((id) => ({ id, zone: 'y' })),
    ]);
  }
  return states;
}

function getChanges(
  engines: number,
  adapters: number,
  slots: number,
  batch: number,
  zone: string,
): Change[] {
  return [
    ...Array.from({ length: engines }, (_, index): Change => ({
      type: 'putEngine',
      engine: {
        id: `e${index}`,
        address: `127.0.0.1:${9_000 + index}`,
        zone,
        pool: 'p',
        model: 'm',
        slots,
        batch,
        checksFencing: true,
      },
    })),
    ...Array.from({ length: adapters }, (_, index): Change => ({
      type: 'putAdapter',
      adapter: {
        name: `a${index}`,
        firm: 'f',
        model: 'm',
        versions: { v1: { source: 's' } },
        inForce: 'v1',
      },
    })),
  ];
}
