import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from '../base/result.ts';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import type { OperatorCommand } from '../operators/types.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';

/** What the operators' server needs of the host. */
export interface AdminHost {
  /** Read only: readiness is read from it. */
  readonly state: State;
  readonly settings: EntrySettings;
  readonly observer: { readonly metrics: { render(): string } };
  dispatch(event: Event): void;
}

/** One call, before its command is known. */
export interface CommandRequest {
  request: IncomingMessage;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
  limits: EntrySettings['limits'];
}

interface RouteBase {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
}

/** A route that needs an operator's key and is answered by the reducer. */
export interface CommandRoute extends RouteBase {
  getCommand: (
    call: CommandRequest,
  ) => Result<OperatorCommand, CommandRefusal> | Promise<Result<OperatorCommand, CommandRefusal>>;
}

/** Why a call was refused before it became a command. */
export interface CommandRefusal {
  failure: Failure;
  details: string[];
}

/** A route that needs no key. */
export interface PublicRoute extends RouteBase {
  handle: (host: AdminHost, response: ServerResponse) => void;
}
