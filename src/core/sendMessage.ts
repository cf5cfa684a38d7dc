import type { Effect } from './effects.ts';
import type { Message } from './messages.ts';
import type { State } from './state.ts';

/**
 * Returns the effect that sends `message` to `to`. A message to this host is sent as well; the host
 * feeds it back as `messageReceived`, so that a handler never runs inside another one.
 */
export function sendMessage(_state: State, to: string, message: Message): Effect {
  return { type: 'sendMessage', to, message };
}
