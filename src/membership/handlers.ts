import type { EventHandlers } from '../core/handlers.ts';
import type { MembershipEvent } from './types.ts';

export const membershipEvents: EventHandlers<MembershipEvent['type']> = {
  linkOpened: (state, { host }) => {
    state.membership.linked.add(host);
    return [];
  },
  linkClosed: (state, { host }) => {
    state.membership.linked.delete(host);
    return [];
  },
};
