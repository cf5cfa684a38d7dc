import type { HttpCall } from '../clients/httpClient.ts';
import type { DirectoryAnswer, MembersWriteAnswer, Topic } from '../directory/types.ts';
import type { RequestLabels } from '../forwards/types.ts';
import type { MembersRow } from '../owners/types.ts';
import type { AdapterOrder, AdapterOrderAnswer, AdapterReport } from '../residency/types.ts';

/**
 * What a deployment's platform must provide. An implementation translates single calls and messages;
 * it decides, repeats and waits for nothing.
 */
export interface Platform {
  /** Path at which the balancer asks whether the host wants requests. */
  readonly readyPath: string;
  readonly directory: DirectoryPort;
  readonly engines: EnginePort;
  readonly labels: LabelPort;
}

/** Single calls to the directory, each with its time limit. None of them rejects. */
export interface DirectoryPort {
  /** Reads a whole topic. */
  read(topic: Topic, timeoutMs: number): Promise<DirectoryAnswer>;
  /** Waits up to `waitMs` for changes after version `after`. */
  watch(topic: Topic, after: number, waitMs: number, timeoutMs: number): Promise<DirectoryAnswer>;
  /** Writes the members row if it still has `version`; 0 when it must be absent. */
  writeMembers(row: MembersRow, version: number, timeoutMs: number): Promise<MembersWriteAnswer>;
}

/** An order to one start of an engine, in the name of a host. */
export interface FencedAdapterOrder {
  engine: string;
  address: string;
  host: string;
  /** Fencing number. */
  epoch: number;
  order: AdapterOrder;
}

/** Single calls to engines, each with its time limit. None of them rejects. */
export interface EnginePort {
  sendOrder(order: FencedAdapterOrder, timeoutMs: number): Promise<AdapterOrderAnswer>;
  /** Returns the report, or the reason why there is none. */
  readReport(engine: string, address: string, timeoutMs: number): Promise<AdapterReport | string>;
}

/** Names and values, by turns, as they stood in the message. */
export type RawHeaders = readonly string[];

/** What an endpoint's answer says of itself. */
export interface ResponseLabels {
  /** Attempt that it answers; empty when it does not say. */
  attemptId: string;
  /** Whether it proves that an endpoint made it. */
  isSealed: boolean;
  /** Set when the endpoint says that the request did not run there. */
  notRun: 'full' | 'adapterMissing' | 'otherEndpoint' | undefined;
}

/** What is added to a request on its way to an endpoint. */
export interface ForwardLabels {
  endpoint: string;
  /** Time until the answer must be complete, in ms. */
  remainingMs: number;
  priority: number | undefined;
  /** Version of the adapter that the endpoint must hold. */
  version: number | undefined;
  /** Event after which a stream continues. */
  resumeAfter: string | undefined;
}

/** Reads and writes what the messages of callers and endpoints carry beside their bodies. */
export interface LabelPort {
  readRequestLabels(headers: RawHeaders): RequestLabels;
  /** Returns the headers of a caller that are passed on, and those that the system sets. */
  getForwardHeaders(headers: RawHeaders, labels: ForwardLabels): string[];
  readResponseLabels(status: number, headers: RawHeaders, endpoint: string): ResponseLabels;
  /** Returns the headers of an answer that are passed on to the caller. */
  getResponseHeaders(headers: RawHeaders): string[];
}

/** Makes one HTTP call; never rejects and never repeats it. */
export type HttpCallFunction = (
  call: HttpCall,
) => ReturnType<import('../clients/httpClient.ts').HttpClient['call']>;

/** Creates the platform of a deployment. */
export type PlatformFactory = (options: {
  directoryUrl: string;
  call: HttpCallFunction;
}) => Platform;
