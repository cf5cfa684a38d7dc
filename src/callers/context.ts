import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { TraceContext } from '../observe/traceparent.ts';
import type { AccessKey } from '../settings/accessKeys.ts';
import type { Settings } from '../settings/groups.ts';
import type { DraftReadAnswer } from '../drafts/types.ts';
import type { Failure } from '../errors/failure.ts';
import type { Exchange } from './exchange.ts';
import type { ServiceExchange } from './serviceExchange.ts';

/** Called once, with the failure when the draft was not accepted. */
export type DraftWaiter = (failure: Failure | undefined) => void;
export type DraftReader = (answer: DraftReadAnswer) => void;

/** What the callers' server needs of the host. */
export interface CallerHost {
  /** Read only: routes answer reads from it. */
  readonly state: State;
  readonly settings: Settings;
  dispatch(event: Event): void;
  /** Keeps body and sink of a request until its answer ends. */
  addExchange(id: string, exchange: Exchange): void;
  /** Keeps the body of a service call until it is answered. */
  addServiceExchange(id: string, exchange: ServiceExchange): void;
  /** Waits for the answer to a new draft. */
  addDraftWaiter(id: string, waiter: DraftWaiter): void;
  /** Waits for the answer to a question about a draft. */
  addDraftReader(id: string, reader: DraftReader): void;
}

/** One authenticated call of a caller. */
export interface Call {
  /** Also the `X-Request-Id` of the answer. */
  id: string;
  /** Child of the caller's context, or the root of a new trace. */
  trace: TraceContext;
  request: IncomingMessage;
  response: ServerResponse;
  key: AccessKey;
  params: Record<string, string | undefined>;
  host: CallerHost;
}

type Method = 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

/** A route of the callers' API; `HEAD` is answered wherever `GET` is. */
export interface Route {
  method: Method | readonly Method[];
  path: string;
  handle: (call: Call) => Promise<void> | void;
}
