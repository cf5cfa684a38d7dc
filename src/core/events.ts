import type { ActionEvent } from '../actions/types.ts';
import type { DirectoryEvent } from '../directory/types.ts';
import type { DraftEvent } from '../drafts/types.ts';
import type { EngineEvent } from '../engines/types.ts';
import type { ForwardEvent } from '../forwards/types.ts';
import type { GrantEvent } from '../grants/types.ts';
import type { MembershipEvent } from '../membership/types.ts';
import type { OperatorRequestEvent } from '../operators/types.ts';
import type { ResidencyEvent } from '../residency/types.ts';
import type { RequestEvent } from '../requests/types.ts';
import type { Message } from './messages.ts';
import type { ObjectPurpose, TablePurpose } from './purposes.ts';
import type { ObjectAnswer, TableAnswer } from './store.ts';

/** Everything that can happen to a host. */
export type Event =
  /** First event of a host. */
  | { type: 'started' }
  /** A timer may be due. */
  | { type: 'tick' }
  /** The process was told to stop. */
  | { type: 'stopRequested' }
  | { type: 'messageReceived'; from: string; message: Message }
  | { type: 'tableAnswered'; purpose: TablePurpose; answer: TableAnswer; sentAt: number }
  | { type: 'objectAnswered'; purpose: ObjectPurpose; answer: ObjectAnswer }
  | RequestEvent
  | EngineEvent
  | GrantEvent
  | MembershipEvent
  | OperatorRequestEvent
  | ActionEvent
  | DraftEvent
  | DirectoryEvent
  | ResidencyEvent
  | ForwardEvent;
