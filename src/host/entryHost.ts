import { AdminServer } from '../admin/server.ts';
import { ArrivalQueue } from '../http/arrivalQueue.ts';
import { CallerMemory } from '../http/callerMemory.ts';
import type { DraftReadHandler, DraftAcceptanceHandler } from '../callers/types.ts';
import type { CompletionExchange } from '../callers/completionExchange.ts';
import type { ServiceExchange } from '../callers/serviceExchange.ts';
import { CallerServer } from '../callers/server.ts';
import { EngineClient } from '../clients/engineClient.ts';
import { HostListClient } from '../clients/hostListClient.ts';
import { HttpClient } from '../clients/httpClient.ts';
import { ObjectClient } from '../clients/objectClient.ts';
import { ServiceClient } from '../clients/serviceClient.ts';
import { TableClient } from '../clients/tableClient.ts';
import { hash32 } from '../base/hash.ts';
import type { Event } from '../core/events.ts';
import { AcceptBacklog } from '../eventLoop/acceptBacklog.ts';
import { PollClock } from '../eventLoop/pollClock.ts';
import { TurnQueue } from '../eventLoop/turnQueue.ts';
import { State } from '../core/state.ts';
import type { DraftListAnswer, DraftReadAnswer } from '../drafts/types.ts';
import type { OperatorAnswer } from '../operators/types.ts';
import { Logger } from '../observe/logger.ts';
import { ProcessSampler } from '../observe/processSampler.ts';
import { PeerLinks } from '../peers/peerLinks.ts';
import type { EntrySettings } from '../settings/entryGroups.ts';
import { abandonRequest } from './abandonRequest.ts';
import type { HostContext, RunningAttempt } from './context.ts';
import type { Loop } from './loop.ts';
import { observeArrival } from './observeArrival.ts';
import { observeEviction } from './observeEviction.ts';
import { newObservedLoop } from './observedLoop.ts';
import { Observer } from './observer.ts';
import { describeError } from './processErrors.ts';
import { runEffect } from './runners/index.ts';

/** An entry host: loop, clients and servers. */
export class EntryHost implements HostContext {
  readonly completionExchanges = new Map<string, CompletionExchange>();
  readonly serviceExchanges = new Map<string, ServiceExchange>();
  readonly serviceCalls = new Map<string, AbortController>();
  readonly draftAcceptanceHandlers = new Map<string, DraftAcceptanceHandler>();
  readonly draftReadHandlers = new Map<string, DraftReadHandler>();
  readonly attempts = new Map<string, RunningAttempt>();
  readonly state: State;
  readonly observer: Observer;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly hostList: HostListClient;
  readonly links: PeerLinks;
  readonly pollClock = PollClock.create();
  readonly backlog = AcceptBacklog.create();
  readonly arrivals: ArrivalQueue;
  readonly memory: CallerMemory;
  private readonly httpClients: readonly HttpClient[];
  private readonly loop: Loop;
  private readonly callerServer: CallerServer;
  private readonly adminServer: AdminServer;
  private readonly sampler: ProcessSampler;
  private readonly stopped: Promise<void>;
  private resolveStopped: () => void = () => undefined;

  private constructor(readonly settings: EntrySettings) {
    this.state = newState(settings);
    const { host, log } = settings;
    const fields = { host: host.id, zone: host.zone };
    this.observer = Observer.create(Logger.create({ level: log.level, fields }));
    const turns = TurnQueue.create(this.backlog, (error) => {
      this.observer.logger.write('error', 'queued job failed', { reason: describeError(error) });
    });
    this.arrivals = ArrivalQueue.create({
      turns,
      getFraction: () => this.state.random.getFraction(),
      onResult: (result) => observeArrival(this.observer, result),
    });
    this.memory = CallerMemory.create(settings.limits, (eviction) =>
      observeEviction(this.observer, eviction),
    );
    const { sourceAddress: localAddress } = settings.host;
    const { budget, garbage } = this.memory;
    const http = HttpClient.create({ localAddress, turns });
    // Callers decide how large the answers of services are; those of the platform must not give way to them.
    const serviceHttp = HttpClient.create({ localAddress, turns, budget, garbage });
    this.httpClients = [http, serviceHttp];
    const { tableUrl, objectsUrl, hostsUrl } = settings.platform;
    this.table = TableClient.create({ address: tableUrl, http });
    this.objects = ObjectClient.create({ address: objectsUrl, http });
    this.hostList = HostListClient.create({ address: hostsUrl, http });
    this.services = ServiceClient.create({ http: serviceHttp });
    this.engines = EngineClient.create({ http });
    this.links = PeerLinks.create({
      identity: this.state.host,
      listen: settings.listen.peers,
      localAddress: settings.host.sourceAddress,
      onEvent: (event) => this.dispatch(event),
    });
    this.loop = newObservedLoop({
      state: this.state,
      observer: this.observer,
      pollClock: this.pollClock,
      runEffect: (effect) => runEffect(this, effect),
      abandonRequest: (id, failure) => abandonRequest(this, id, failure),
    });
    this.sampler = ProcessSampler.create((observation) => this.observer.observe(observation));
    this.callerServer = CallerServer.create(this);
    this.adminServer = AdminServer.create(this);
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
  }

  static create(settings: EntrySettings): EntryHost {
    return new EntryHost(settings);
  }

  /** Starts the servers and the loop; returns the ports of the caller and operator servers. */
  async start(): Promise<{ callerPort: number; operatorPort: number }> {
    await this.links.start();
    const operatorPort = await this.adminServer.start();
    const callerPort = await this.callerServer.start();
    this.sampler.start();
    this.pollClock.start();
    this.dispatch({ type: 'started' });
    return { callerPort, operatorPort };
  }

  /** Stops gracefully: accepts requests for `lameDuckMs` and resolves when none is in flight. */
  async stop(): Promise<void> {
    this.dispatch({ type: 'stopRequested' });
    await this.stopped;
    this.loop.stop();
    this.sampler.stop();
    this.pollClock.stop();
    await this.callerServer.stop();
    await this.adminServer.stop();
    this.memory.stop();
    await this.links.stop();
    await Promise.all(this.httpClients.map((client) => client.close()));
  }

  dispatch(event: Event): void {
    this.loop.dispatch(event);
  }

  addCompletionExchange(id: string, exchange: CompletionExchange): void {
    this.completionExchanges.set(id, exchange);
  }

  addServiceExchange(id: string, exchange: ServiceExchange): void {
    this.serviceExchanges.set(id, exchange);
  }

  addDraftAcceptanceHandler(id: string, handler: DraftAcceptanceHandler): void {
    this.draftAcceptanceHandlers.set(id, handler);
  }

  addDraftReadHandler(id: string, handler: DraftReadHandler): void {
    this.draftReadHandlers.set(id, handler);
  }

  answerOperator(id: string, answer: OperatorAnswer): void {
    this.adminServer.answer(id, answer);
  }

  answerDraftRead(id: string, answer: DraftReadAnswer): void {
    this.adminServer.answerDraftRead(id, answer);
  }

  answerDraftList(id: string, answer: DraftListAnswer): void {
    this.adminServer.answerDraftList(id, answer);
  }

  onStopped(): void {
    this.resolveStopped();
  }
}

/** Returns the time for which new requests are accepted, of which each can still end in time. */
function getLameDuckMs({ lameDuckMs, shutdownMs, maxRequestMs }: EntrySettings['limits']): number {
  return Math.min(lameDuckMs, shutdownMs - maxRequestMs);
}

function newState({ host, listen, policy, limits }: EntrySettings): State {
  const { id, zone, region, incarnation, seeds } = host;
  const state = State.create({
    host: { id, zone, region, incarnation, address: listen.advertised },
    seeds,
    policy: { ...policy, ...limits, lameDuckMs: getLameDuckMs(limits) },
    // Random numbers differ between hosts and between restarts of a host.
    randomSeed: hash32(`${id}/${incarnation}`),
  });
  // Daily windows of warm intents are in UTC; all other times are monotonic.
  state.grants.unixOffsetMs = Date.now() - performance.now();
  return state;
}
