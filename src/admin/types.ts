import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from '../base/result.ts';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import type { CallerMemory } from '../http/callerMemory.ts';
import type { OperatorCommand } from '../operators/types.ts';
import type { AccessKey } from '../settings/accessKeys.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';

/** Settings of the operators' server. */
export interface AdminSettings {
  readonly listen: Pick<EntrySettings['listen'], 'operators'>;
  readonly access: { readonly keys: readonly AccessKey[] };
  readonly limits: Pick<
    EntrySettings['limits'],
    'operatorBodyBytes' | 'headerBytes' | 'slowSenderMs'
  >;
}

/** Interface of the host to the operators' server. */
export interface AdminHost {
  /** Used to read whether the host is ready; never changed by the server. */
  readonly state: State;
  readonly settings: AdminSettings;
  readonly observer: { readonly metrics: { render(): string } };
  readonly memory: CallerMemory;
  dispatch(event: Event): void;
}

/** HTTP request to a command route. */
export interface CommandRequest {
  request: IncomingMessage;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
  /** Reads the whole body; fails as `readBody` does. */
  readBody: () => Promise<Result<Buffer, Failure>>;
}

interface RouteBase {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
}

/** Route that needs an operator's key; its commands are handled by the reducer. */
export interface CommandRoute extends RouteBase {
  getCommand: (
    request: CommandRequest,
  ) => Result<OperatorCommand, CommandRefusal> | Promise<Result<OperatorCommand, CommandRefusal>>;
}

/** Reason why a request was refused before it became a command. */
export interface CommandRefusal {
  failure: Failure;
  details: string[];
}

/** Route that needs no key. */
export interface PublicRoute extends RouteBase {
  handle: (host: AdminHost, response: ServerResponse) => void;
}
