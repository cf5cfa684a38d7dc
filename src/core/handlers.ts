import type { Effect } from './effects.ts';
import type { Event } from './events.ts';
import type { Message } from './messages.ts';
import type { ObjectPurpose, TablePurpose } from './purposes.ts';
import type { State } from './state.ts';
import type { ObjectAnswer, TableAnswer } from './store.ts';
import type { Timer } from './timers.ts';

/** Types of the handler tables. Each folder exports the handlers of the types that it declares. */

export type EventHandlers<T extends Event['type']> = {
  [K in T]: (state: State, event: Extract<Event, { type: K }>, now: number) => Effect[];
};

export type MessageHandlers<T extends Message['type']> = {
  [K in T]: (
    state: State,
    message: Extract<Message, { type: K }>,
    from: string,
    now: number,
  ) => Effect[];
};

export type TimerHandlers<T extends Timer['type']> = {
  [K in T]: (state: State, timer: Extract<Timer, { type: K }>, now: number) => Effect[];
};

export type TableAnswerHandlers<T extends TablePurpose['type']> = {
  [K in T]: (
    state: State,
    purpose: Extract<TablePurpose, { type: K }>,
    answer: TableAnswer,
    /** Monotonic ms at which the call was sent, and of the current event. */
    times: { sentAt: number; now: number },
  ) => Effect[];
};

export type ObjectAnswerHandlers<T extends ObjectPurpose['type']> = {
  [K in T]: (
    state: State,
    purpose: Extract<ObjectPurpose, { type: K }>,
    answer: ObjectAnswer,
    now: number,
  ) => Effect[];
};
