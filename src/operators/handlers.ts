import type { EventHandlers } from '../core/handlers.ts';
import { commandHandlers } from './commands/index.ts';
import type { CommandHandler } from './answer.ts';
import type { OperatorRequest, OperatorCommand } from './types.ts';

/** Handler of the commands that operators send. */
export const operatorEvents: EventHandlers<'operatorCommandReceived'> = {
  operatorCommandReceived: (state, { id, operator, command, atUnixMs }, now) => {
    const request: OperatorRequest = {
      id,
      operator,
      command,
      atUnixMs,
      receivedAt: now,
      confirmProgress: undefined,
    };
    state.operators.pendingRequests.set(id, request);
    const handler = commandHandlers[command.type] as CommandHandler<OperatorCommand['type']>;
    return handler(state, request, command, now);
  },
};
