import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ArrivalQueue } from '../http/arrivalQueue.ts';
import type { CallerMemory } from '../http/callerMemory.ts';
import type { Reading } from '../http/httpServer.ts';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { AcceptBacklog } from '../eventLoop/acceptBacklog.ts';
import type { PollClock } from '../eventLoop/pollClock.ts';
import type { Observer } from '../host/observer.ts';
import type { TraceContext } from '../observe/traceparent.ts';
import type { AccessKey } from '../settings/accessKeys.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';
import type { DraftReadAnswer } from '../drafts/types.ts';
import type { Result } from '../base/result.ts';
import type { Failure } from '../errors/failure.ts';
import type { CompletionExchange } from './completionExchange.ts';
import type { ServiceExchange } from './serviceExchange.ts';

/** Called once: with undefined when the draft is accepted, otherwise with the failure. */
export type DraftAcceptanceHandler = (failure: Failure | undefined) => void;
/** Called once with the answer to a read or delete of a draft. */
export type DraftReadHandler = (answer: DraftReadAnswer) => void;

/** The interface through which the callers' server uses its host. */
export interface CallerHost {
  /** Routes only read it. */
  readonly state: State;
  readonly settings: EntrySettings;
  readonly pollClock: PollClock;
  readonly arrivals: ArrivalQueue;
  readonly backlog: AcceptBacklog;
  readonly memory: CallerMemory;
  readonly observer: Observer;
  dispatch(event: Event): void;
  /** Keeps the body and response sink of a completion request until its response ends. */
  addCompletionExchange(id: string, exchange: CompletionExchange): void;
  /** Keeps the request of a service call until it is answered. */
  addServiceExchange(id: string, exchange: ServiceExchange): void;
  /** Registers the handler for the acceptance or rejection of draft `id`. */
  addDraftAcceptanceHandler(id: string, handler: DraftAcceptanceHandler): void;
  /** Registers the handler for the answer to draft command `id`. */
  addDraftReadHandler(id: string, handler: DraftReadHandler): void;
}

/** An authenticated request of a caller, as routes handle it. */
export interface RequestContext {
  /** Sent to the caller as `X-Request-Id`. */
  id: string;
  /** Child of the caller's trace context, or the root of a new trace. */
  trace: TraceContext;
  request: IncomingMessage;
  response: ServerResponse;
  reading: Reading;
  /** Reads the whole body, which may have begun before; fails as `readBody` does. */
  readBody: () => Promise<Result<Buffer, Failure>>;
  key: AccessKey;
  params: Record<string, string | undefined>;
  host: CallerHost;
}

type Method = 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';

/** A route of the callers' API; routes for `GET` also serve `HEAD`. */
export interface Route {
  method: Method | readonly Method[];
  path: string;
  handle: (context: RequestContext) => Promise<void> | void;
}
