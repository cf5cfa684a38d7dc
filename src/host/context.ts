import type { DraftReadHandler, DraftAcceptanceHandler } from '../callers/types.ts';
import type { CompletionExchange } from '../callers/completionExchange.ts';
import type { ServiceExchange } from '../callers/serviceExchange.ts';
import type { EngineClient } from '../clients/engineClient.ts';
import type { HostListClient } from '../clients/hostListClient.ts';
import type { ObjectClient } from '../clients/objectClient.ts';
import type { ServiceClient } from '../clients/serviceClient.ts';
import type { TableClient } from '../clients/tableClient.ts';
import type { Effect } from '../core/effects.ts';
import type { Event } from '../core/events.ts';
import type { State } from '../core/state.ts';
import type { PeerLinks } from '../peers/peerLinks.ts';
import type { DraftListAnswer, DraftReadAnswer } from '../drafts/types.ts';
import type { OperatorAnswer } from '../operators/types.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';
import type { Observer } from './observer.ts';

/** An attempt in flight whose response the host passes on. */
export interface RunningAttempt {
  cancel(): void;
}

/** The parts of the host that the effect runners use. */
export interface HostContext {
  readonly state: State;
  readonly settings: EntrySettings;
  readonly observer: Observer;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly engines: EngineClient;
  readonly hostList: HostListClient;
  readonly links: PeerLinks;
  readonly completionExchanges: Map<string, CompletionExchange>;
  readonly serviceExchanges: Map<string, ServiceExchange>;
  /** Calls to services in flight, by the id of their request. */
  readonly serviceCalls: Map<string, AbortController>;
  readonly draftAcceptanceHandlers: Map<string, DraftAcceptanceHandler>;
  readonly draftReadHandlers: Map<string, DraftReadHandler>;
  readonly services: ServiceClient;
  readonly attempts: Map<string, RunningAttempt>;
  dispatch(event: Event): void;
  /** Passes the answer to a read of a draft to the operators' server. */
  answerDraftRead(id: string, answer: DraftReadAnswer): void;
  /** Passes the answer to a list of drafts to the operators' server. */
  answerDraftList(id: string, answer: DraftListAnswer): void;
  /** Passes the answer to an operator's request to the operators' server. */
  answerOperator(id: string, answer: OperatorAnswer): void;
  /** Called when the reducer has completed the shutdown. */
  onStopped(): void;
}

/** One runner for each effect type of `T`. */
export type EffectRunners<T extends Effect['type']> = {
  [K in T]: (context: HostContext, effect: Extract<Effect, { type: K }>) => void;
};
