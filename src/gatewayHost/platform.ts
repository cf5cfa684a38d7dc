import type { HttpCall } from '../clients/httpClient.ts';
import type { DirectoryAnswer, DirectoryWriteAnswer, HostRow, Topic } from '../directory/types.ts';
import type { RequestLabels } from '../forwards/types.ts';
import type { EndpointNotice } from '../notices/types.ts';
import type { RoutingTable } from '../routes/types.ts';
import type { AdapterOrder, AdapterOrderAnswer, AdapterReport } from '../residency/types.ts';

/**
 * Interface to the platform of a deployment. An implementation only translates single calls and
 * messages; it makes no decisions, never retries and never waits.
 */
export interface Platform {
  /** Path at which the load balancer probes whether the host accepts requests. */
  readonly readyPath: string;
  readonly directory: DirectoryPort;
  readonly engines: EnginePort;
  readonly health: HealthPort;
  readonly labels: LabelPort;
}

/** Single calls to the directory, each with a timeout. Their promises never reject. */
export interface DirectoryPort {
  /** Reads a whole topic. */
  read(topic: Topic, timeoutMs: number): Promise<DirectoryAnswer>;
  /** Waits up to `waitMs` for changes after version `after`. */
  watch(topic: Topic, after: number, waitMs: number, timeoutMs: number): Promise<DirectoryAnswer>;
  /** Writes a row of the hosts if its version is `version`; 0 means that it must not exist. */
  writeRow(content: HostRow, version: number, timeoutMs: number): Promise<DirectoryWriteAnswer>;
}

/** An adapter order with the engine instance that it is for and the host that sends it. */
export interface FencedAdapterOrder {
  engine: string;
  address: string;
  host: string;
  /** Fencing number. */
  epoch: number;
  order: AdapterOrder;
}

/** What came of a call to an engine. */
export interface EngineAnswer<T> {
  content: T;
  /** What the answer says of the engine; undefined if the engine gave none. */
  notice: EndpointNotice | undefined;
}

/** Single calls to engines, each with a timeout. Their promises never reject. */
export interface EnginePort {
  sendOrder(
    order: FencedAdapterOrder,
    timeoutMs: number,
  ): Promise<EngineAnswer<AdapterOrderAnswer>>;
  /** Returns the report, or the reason why it could not be read. */
  readReport(
    engine: string,
    address: string,
    timeoutMs: number,
  ): Promise<EngineAnswer<AdapterReport | string>>;
}

/** What is wrong with a configuration, and where. */
export interface ConfigurationProblem {
  path: readonly PropertyKey[];
  message: string;
}

/** Decodes configurations as the directory does. */
export interface ConfigurationPort {
  decode(value: unknown): RoutingTable | ConfigurationProblem[];
}

/** A request that an endpoint answers whatever its state. */
export interface HealthCheck {
  path: string;
  headers: Record<string, string>;
}

/** Health checks of endpoints. */
export interface HealthPort {
  /** `healthPath` is undefined for an engine, which answers reports while it is busy. */
  getCheck(endpoint: string, healthPath: string | undefined): HealthCheck;
}

/** Alternating names and values, unmodified. */
export type RawHeaders = readonly string[];

/** Metadata of an endpoint's response. */
export interface ResponseLabels {
  /** Attempt that the response belongs to; empty when it is not specified. */
  attemptId: string;
  /** Whether the response carries the seal that proves that an endpoint produced it. */
  isSealed: boolean;
  /** Why the endpoint did not run the request; undefined when it may have run. */
  notRun: 'full' | 'adapterMissing' | 'otherEndpoint' | undefined;
  notice: EndpointNotice;
}

/** Metadata that is added to a request that is forwarded to an endpoint. */
export interface ForwardLabels {
  endpoint: string;
  /** Time in ms until the response must be complete. */
  remainingMs: number;
  priority: number | undefined;
  /** Version of the adapter that the endpoint must hold. */
  version: number | undefined;
  /** Id of the event after which the stream resumes. */
  resumeAfter: string | undefined;
  /**
   * Tenant that holds the caller's key, which is not passed on; empty for a public route. Undefined if the
   * deployment has no tenants; what the caller sent is passed on then.
   */
  tenant: string | undefined;
}

/** Reads and writes the metadata in the headers of requests and responses. */
export interface LabelPort {
  readRequestLabels(headers: RawHeaders): RequestLabels;
  /** Returns the headers of a forwarded request: those of the caller and those that are added. */
  getForwardHeaders(headers: RawHeaders, labels: ForwardLabels): string[];
  readResponseLabels(status: number, headers: RawHeaders, endpoint: string): ResponseLabels;
  /** Returns the headers of a response that are passed on to the caller. */
  getResponseHeaders(headers: RawHeaders): string[];
}

/** Makes one HTTP call; never rejects and never retries. */
export type HttpCallFunction = (
  call: HttpCall,
) => ReturnType<import('../clients/httpClient.ts').HttpClient['call']>;

/** Creates the interface to the platform of a deployment. */
export type PlatformFactory = (options: {
  directoryUrl: string;
  /** Makes the calls to the directory. */
  call: HttpCallFunction;
  /** Makes the calls to engines, one at a time over one connection to each. */
  engineCall: HttpCallFunction;
}) => Platform;
