import { getRendezvousChoice } from '../base/hash.ts';
import type { State } from '../core/state.ts';

export interface Owner {
  host: string;
  /** Epoch of the zone row; also the fencing number of orders. */
  epoch: number;
}

/** Returns the host that decides for `engine`, or undefined when this host does not know one. */
export function getOwner(state: State, engine: string): Owner | undefined {
  const zone = state.configuration.engines.get(engine)?.zone;
  if (zone === undefined) return undefined;
  if (state.ownership.row === undefined) return { host: state.host.id, epoch: 1 };
  const members = state.ownership.row.members.map((member) => member.host);
  const host = getRendezvousChoice(engine, members);
  return host === undefined ? undefined : { host, epoch: state.ownership.row.epoch };
}

/** Whether this host decides for `engine`. */
export function isOwner(state: State, engine: string): boolean {
  return getOwner(state, engine)?.host === state.host.id;
}

/** Whether this host may order the unload of an adapter or a change of role now. */
export function canOrderDestructively(state: State, engine: string, _now: number): boolean {
  return isOwner(state, engine);
}

/** Whether a message to `host` can be delivered now. */
export function isReachable(state: State, host: string): boolean {
  return host === state.host.id || state.membership.linked.has(host);
}
