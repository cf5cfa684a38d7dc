import type { Effect } from './effects.ts';
import type { Message } from './messages.ts';
import type { State } from './state.ts';

/**
 * Returns the effect that sends `message` to host `to`. Messages to this host are effects too: the
 * host feeds them back as `messageReceived`, so that no handler runs inside another one.
 */
export function sendMessage(_state: State, to: string, message: Message): Effect {
  return { type: 'sendMessage', to, message };
}
