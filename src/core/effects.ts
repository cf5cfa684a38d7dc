import type { ActionEffect } from '../actions/types.ts';
import type { DirectoryEffect } from '../directory/types.ts';
import type { DraftEffect } from '../drafts/types.ts';
import type { EngineEffect } from '../engines/types.ts';
import type { ForwardEffect } from '../forwards/types.ts';
import type { GrantEffect } from '../grants/types.ts';
import type { MembershipEffect } from '../membership/types.ts';
import type { OperatorEffect } from '../operators/types.ts';
import type { NoticeEffect } from '../notices/types.ts';
import type { PathEffect } from '../paths/types.ts';
import type { ResidencyEffect } from '../residency/types.ts';
import type { RequestEffect } from '../requests/types.ts';
import type { Message } from './messages.ts';
import type { Observation } from './observations.ts';
import type { ObjectPurpose, TablePurpose } from './purposes.ts';
import type { ObjectCall, TableCall } from './store.ts';

/** Effects that only hosts with a directory return. */
export type DirectoryHostEffect =
  DirectoryEffect | ResidencyEffect | ForwardEffect | PathEffect | NoticeEffect;

/** Side effects that the reducer returns and the host executes. */
export type Effect =
  | Observation
  /** Delivery is not guaranteed; a sender that needs an answer sets a timer. */
  | { type: 'sendMessage'; to: string; message: Message }
  /** The result arrives as `tableAnswered` with the same purpose. */
  | { type: 'callTable'; call: TableCall; purpose: TablePurpose }
  /** The result arrives as `objectAnswered` with the same purpose. */
  | { type: 'callObjects'; call: ObjectCall; purpose: ObjectPurpose }
  /** Nothing is in flight any more; the process may exit. */
  | { type: 'stopped' }
  | RequestEffect
  | EngineEffect
  | GrantEffect
  | MembershipEffect
  | OperatorEffect
  | ActionEffect
  | DraftEffect
  | DirectoryHostEffect;
