import type { EventHandlers } from '../core/handlers.ts';
import { actions } from './actions/index.ts';
import type { OperatorAction } from './answer.ts';
import type { Ask, OperatorCommand } from './types.ts';

export const operatorEvents: EventHandlers<'operatorAsked'> = {
  operatorAsked: (state, { id, operator, command, atUnixMs }, now) => {
    const ask: Ask = { id, operator, command, atUnixMs, askedAt: now, confirm: undefined };
    state.operators.asks.set(id, ask);
    const action = actions[command.type] as OperatorAction<OperatorCommand['type']>;
    return action(state, ask, command, now);
  },
};
