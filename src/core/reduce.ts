import {
  actionEvents,
  actionObjectHandlers,
  actionTableHandlers,
  actionTimers,
} from '../actions/handlers.ts';
import {
  configurationObjectHandlers,
  configurationTableHandlers,
  configurationTimers,
} from '../configuration/handlers.ts';
import { configurationMessages } from '../configuration/peerHandlers.ts';
import { directoryEvents, directoryMessages, directoryTimers } from '../directory/handlers.ts';
import {
  draftEvents,
  draftObjectHandlers,
  draftTableHandlers,
  draftTimers,
} from '../drafts/handlers.ts';
import { suspectMessages, suspectTableHandlers, suspectTimers } from '../suspects/handlers.ts';
import { engineEvents, engineTimers } from '../engines/handlers.ts';
import { forwardEvents, forwardMessages, forwardTimers } from '../forwards/handlers.ts';
import { grantEvents, grantMessages, grantTimers } from '../grants/handlers.ts';
import { limitTimers } from '../limits/handlers.ts';
import { noticeEvents, noticeMessages, noticeTimers } from '../notices/handlers.ts';
import { operatorTableHandlers } from '../operators/commands/index.ts';
import { confirmTimers } from '../operators/commands/confirmPlan.ts';
import { operatorEvents } from '../operators/handlers.ts';
import { membershipEvents, membershipMessages, membershipTimers } from '../membership/handlers.ts';
import {
  recordLoopTurn,
  ownershipMessages,
  ownershipTableHandlers,
  ownershipTimers,
} from '../ownership/handlers.ts';
import { ownersMessages, ownersTimers } from '../owners/handlers.ts';
import { pathEvents, pathTimers } from '../paths/handlers.ts';
import { quotaMessages, quotaTimers } from '../quotas/handlers.ts';
import { residencyEvents, residencyMessages, residencyTimers } from '../residency/handlers.ts';
import { requestEvents, requestMessages, requestTimers } from '../requests/handlers.ts';
import { streamMessages, streamTimers } from '../streams/handlers.ts';
import type { Effect } from './effects.ts';
import type { Event } from './events.ts';
import type {
  EventHandlers,
  MessageHandlers,
  ObjectAnswerHandlers,
  TableAnswerHandlers,
  TimerHandlers,
} from './handlers.ts';
import { hostEvents, hostTimers, linkEvents } from './hostHandlers.ts';
import type { Message } from './messages.ts';
import type { ObjectPurpose, TablePurpose } from './purposes.ts';
import type { State } from './state.ts';
import { TimerError } from './timerError.ts';
import type { Timer } from './timers.ts';

type AnyHandler = (...args: unknown[]) => Effect[];

const messages: MessageHandlers<Message['type']> = {
  ...configurationMessages,
  ...grantMessages,
  ...requestMessages,
  ...membershipMessages,
  ...ownershipMessages,
  ...suspectMessages,
  ...directoryMessages,
  ...residencyMessages,
  ...forwardMessages,
  ...streamMessages,
  ...noticeMessages,
  ...quotaMessages,
  ...ownersMessages,
};

const timers: TimerHandlers<Timer['type']> = {
  ...configurationTimers,
  ...engineTimers,
  ...grantTimers,
  ...requestTimers,
  ...actionTimers,
  ...draftTimers,
  ...suspectTimers,
  ...hostTimers,
  ...confirmTimers,
  ...membershipTimers,
  ...ownershipTimers,
  ...directoryTimers,
  ...ownersTimers,
  ...residencyTimers,
  ...forwardTimers,
  ...streamTimers,
  ...limitTimers,
  ...quotaTimers,
  ...noticeTimers,
  ...pathTimers,
};

const tableAnswers: TableAnswerHandlers<TablePurpose['type']> = {
  ...configurationTableHandlers,
  ...operatorTableHandlers,
  ...ownershipTableHandlers,
  ...actionTableHandlers,
  ...draftTableHandlers,
  ...suspectTableHandlers,
};

const objectAnswers: ObjectAnswerHandlers<ObjectPurpose['type']> = {
  ...configurationObjectHandlers,
  ...actionObjectHandlers,
  ...draftObjectHandlers,
};

const events: EventHandlers<Event['type']> = {
  ...hostEvents,
  ...requestEvents,
  ...noticeEvents,
  ...engineEvents,
  ...grantEvents,
  ...membershipEvents,
  ...operatorEvents,
  ...actionEvents,
  ...draftEvents,
  ...directoryEvents,
  ...residencyEvents,
  ...forwardEvents,
  ...pathEvents,
  ...linkEvents,
  tick: (state, _event, now) => runDueTimers(state, now),
  messageReceived: (state, { from, message }, now) => {
    const handler = messages[message.type] as AnyHandler;
    return handler(state, message, from, now);
  },
  tableAnswered: (state, { purpose, answer, sentAt }, now) => {
    const handler = tableAnswers[purpose.type] as AnyHandler;
    return handler(state, purpose, answer, { sentAt, now });
  },
  objectAnswered: (state, { purpose, answer }, now) => {
    const handler = objectAnswers[purpose.type] as AnyHandler;
    return handler(state, purpose, answer, now);
  },
};

/**
 * Applies one event to `state` in place and returns the effects to execute. `now` is in monotonic
 * milliseconds and never decreases between calls. Throws a `TimerError` if the handler of a timer throws;
 * timers that are due after it have not run yet.
 */
export function reduce(state: State, event: Event, now: number): Effect[] {
  state.now = now;
  recordLoopTurn(state, now);
  const handler = events[event.type] as AnyHandler;
  return handler(state, event, now);
}

function runDueTimers(state: State, now: number): Effect[] {
  const effects: Effect[] = [];
  for (;;) {
    const timer = state.timers.popDue(now);
    if (timer === undefined) return effects;
    const handler = timers[timer.type] as AnyHandler;
    try {
      effects.push(...handler(state, timer, now));
    } catch (error) {
      throw TimerError.create(timer, effects, error);
    }
  }
}
