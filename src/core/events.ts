import type { ActionEvent } from '../actions/types.ts';
import type { DirectoryEvent } from '../directory/types.ts';
import type { DraftEvent } from '../drafts/types.ts';
import type { EngineEvent } from '../engines/types.ts';
import type { ForwardEvent } from '../forwards/types.ts';
import type { GrantEvent } from '../grants/types.ts';
import type { MembershipEvent } from '../membership/types.ts';
import type { NoticeEvent } from '../notices/types.ts';
import type { PathEvent } from '../paths/types.ts';
import type { OperatorRequestEvent } from '../operators/types.ts';
import type { ResidencyEvent } from '../residency/types.ts';
import type { RequestEvent } from '../requests/types.ts';
import type { Message } from './messages.ts';
import type { ObjectPurpose, TablePurpose } from './purposes.ts';
import type { ObjectAnswer, TableAnswer } from './store.ts';

/** Inputs of the reducer. */
export type Event =
  /** First event of a host. */
  | { type: 'started' }
  /** Runs the timers that are due, if any. */
  | { type: 'tick' }
  /** The process received a request to stop. */
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
  | ForwardEvent
  | NoticeEvent
  | PathEvent;
