import { z } from 'zod';
import { EnginesChanged, EngineViewsAsked } from '../engines/types.ts';
import {
  GrantAsk,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  LoadTokensAsked,
  LoadTokensLent,
} from '../grants/types.ts';

/** Every message between hosts, parsed at the link before it reaches the reducer. */
export const Message = z.discriminatedUnion('type', [
  GrantAsk,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  LoadTokensAsked,
  LoadTokensLent,
  EnginesChanged,
  EngineViewsAsked,
]);
export type Message = z.infer<typeof Message>;
