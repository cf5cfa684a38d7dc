import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { TraceContext } from '../observe/traceparent.ts';
import type { AccessKey } from '../settings/accessKeys.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';
import type { DraftReadAnswer } from '../drafts/types.ts';
import type { Failure } from '../errors/failure.ts';
import type { CompletionExchange } from './completionExchange.ts';
import type { ServiceExchange } from './serviceExchange.ts';

/** Called once, with the failure when the draft was not accepted. */
export type DraftAcceptanceHandler = (failure: Failure | undefined) => void;
export type DraftReadHandler = (answer: DraftReadAnswer) => void;

/** What the callers' server needs of the host. */
export interface CallerHost {
  /** Read only: routes answer reads from it. */
  readonly state: State;
  readonly settings: EntrySettings;
  dispatch(event: Event): void;
  /** Keeps body and sink of a request until its answer ends. */
  addCompletionExchange(id: string, exchange: CompletionExchange): void;
  /** Keeps the body of a service call until it is answered. */
  addServiceExchange(id: string, exchange: ServiceExchange): void;
  /** Waits for the answer to a new draft. */
  addDraftAcceptanceHandler(id: string, waiter: DraftAcceptanceHandler): void;
  /** Waits for the answer to a question about a draft. */
  addDraftReadHandler(id: string, reader: DraftReadHandler): void;
}

/** One authenticated call of a caller. */
export interface RequestContext {
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
  handle: (call: RequestContext) => Promise<void> | void;
}
