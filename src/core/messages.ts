import { z } from 'zod';
import { EnginesChanged, EngineViewsAsked } from '../engines/types.ts';
import { GrantAsk, GrantGiven, GrantRefused, GrantReleased } from '../grants/types.ts';

/** Every message between hosts, parsed at the link before it reaches the reducer. */
export const Message = z.discriminatedUnion('type', [
  GrantAsk,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  EnginesChanged,
  EngineViewsAsked,
]);
export type Message = z.infer<typeof Message>;
