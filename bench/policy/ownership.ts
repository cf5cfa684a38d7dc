import type { Effect } from '../../src/core/effects.ts';
import type { State } from '../../src/core/state.ts';
import { adoptZoneRow } from '../../src/ownership/rowAdoption.ts';
import { newKnownZoneRow } from '../../src/ownership/rows.ts';
import type { HostLayout } from './types.ts';

/** Sets the zone rows of `hosts` and a lease without end in `state`, since no table service runs. */
export function setZoneRows(state: State, hosts: readonly HostLayout[]): Effect[] {
  const { ownership } = state;
  ownership.mode = 'clustered';
  ownership.leaseConfirmedAt = Infinity;
  ownership.leaseValidUntil = Infinity;
  const effects: Effect[] = [];
  for (const zone of new Set(hosts.map((host) => host.zone))) {
    const members = hosts
      .filter((host) => host.zone === zone)
      .map(({ id }) => ({ host: id, incarnation: 1 }));
    const row = { epoch: 1, members };
    if (zone === state.host.zone) effects.push(...adoptZoneRow(state, row, '1', 0));
    else ownership.otherZoneRows.set(zone, newKnownZoneRow(row, 0));
  }
  return effects;
}
