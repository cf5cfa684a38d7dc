import type { ConfigurationTimer } from '../configuration/handlers.ts';
import type { ActionTimer } from '../actions/types.ts';
import type { DirectoryTimer } from '../directory/types.ts';
import type { DraftTimer } from '../drafts/types.ts';
import type { SuspectTimer } from '../suspects/types.ts';
import type { EngineTimer } from '../engines/types.ts';
import type { ForwardTimer } from '../forwards/types.ts';
import type { GrantTimer } from '../grants/types.ts';
import type { LimitTimer } from '../limits/types.ts';
import type { NoticeTimer } from '../notices/types.ts';
import type { OperatorTimer } from '../operators/types.ts';
import type { MembershipTimer } from '../membership/types.ts';
import type { OwnershipTimer } from '../ownership/types.ts';
import type { OwnersTimer } from '../owners/types.ts';
import type { PathTimer } from '../paths/types.ts';
import type { ResidencyTimer } from '../residency/types.ts';
import type { StreamLookupTimer, VersionSplitTimer } from '../streams/types.ts';
import type { QuotaTimer } from '../quotas/types.ts';
import type { RequestTimer } from '../requests/types.ts';
import type { LifecycleTimer } from './lifecycle.ts';
import type { State } from './state.ts';

/** All timers. Timers are never removed; handlers ignore those that are no longer relevant. */
export type Timer =
  | ConfigurationTimer
  | OperatorTimer
  | EngineTimer
  | GrantTimer
  | RequestTimer
  | LifecycleTimer
  | MembershipTimer
  | OwnershipTimer
  | ActionTimer
  | DraftTimer
  | SuspectTimer
  | DirectoryTimer
  | OwnersTimer
  | ResidencyTimer
  | ForwardTimer
  | StreamLookupTimer
  | VersionSplitTimer
  | LimitTimer
  | QuotaTimer
  | NoticeTimer
  | PathTimer;

/** Schedules `timer` for monotonic time `at`. */
export function schedule(state: State, at: number, timer: Timer): void {
  state.timers.push(at, timer);
}
