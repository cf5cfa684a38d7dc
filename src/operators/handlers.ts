import type { EventHandlers } from '../core/handlers.ts';
import { commandHandlers } from './commands/index.ts';
import type { CommandHandler } from './answer.ts';
import type { OperatorRequest, OperatorCommand } from './types.ts';

export const operatorEvents: EventHandlers<'operatorCommandReceived'> = {
  operatorCommandReceived: (state, { id, operator, command, atUnixMs }, now) => {
    const ask: OperatorRequest = {
      id,
      operator,
      command,
      atUnixMs,
      receivedAt: now,
      confirm: undefined,
    };
    state.operators.pendingRequests.set(id, ask);
    const action = commandHandlers[command.type] as CommandHandler<OperatorCommand['type']>;
    return action(state, ask, command, now);
  },
};
