import { isDeepStrictEqual } from 'node:util';
import { suspectRoutes } from '../admin/routes/commands.ts';
import { AdminServer } from '../admin/server.ts';
import { ArrivalQueue } from '../http/arrivalQueue.ts';
import { hash32 } from '../base/hash.ts';
import { HttpClient } from '../clients/httpClient.ts';
import type { Event } from '../core/events.ts';
import { isReady } from '../core/lifecycle.ts';
import { type Policy, State } from '../core/state.ts';
import type { Failure } from '../errors/failure.ts';
import { AcceptBacklog } from '../eventLoop/acceptBacklog.ts';
import { ClockJumps } from '../eventLoop/clockJumps.ts';
import { PollClock } from '../eventLoop/pollClock.ts';
import { ReadTurns } from '../eventLoop/readTurns.ts';
import { TurnQueue } from '../eventLoop/turnQueue.ts';
import type { AttemptSpec } from '../forwards/types.ts';
import type { Loop } from '../host/loop.ts';
import { observeArrival } from '../host/observeArrival.ts';
import { newGauge } from '../core/observations.ts';
import { observeEviction } from '../host/observeEviction.ts';
import { newObservedLoop } from '../host/observedLoop.ts';
import { CallerMemory } from '../http/callerMemory.ts';
import { StatusServer } from '../http/statusServer.ts';
import { Observer } from '../host/observer.ts';
import { describeError } from '../host/processErrors.ts';
import type { EndpointNotice, EndpointPaused } from '../notices/types.ts';
import { Logger } from '../observe/logger.ts';
import { ProcessSampler } from '../observe/processSampler.ts';
import { countLimitSharers } from '../owners/owner.ts';
import { getRelayedAddress } from '../paths/relayedEndpoints.ts';
import { PeerLinks } from '../peers/peerLinks.ts';
import { RelayServer } from '../relays/relayServer.ts';
import type { GatewaySettings } from '../settings/gatewayGroups.ts';
import type { SocketAddress } from '../settings/values.ts';
import {
  DEFAULT_HEADER_TIMEOUT_MS,
  LAME_DUCK_GRACE_SHARE,
  MAX_REPORT_BYTES,
  MAX_HEADER_BYTES,
  MIN_CONNECTIONS_PER_ENDPOINT,
  STOP_GRACE_SHARE,
} from './constants.ts';
import type { ForwardExchange } from './forwardExchange.ts';
import { FrontServer } from './frontServer.ts';
import { LogOutputStream } from './logOutputStream.ts';
import type { LabelPort, Platform, PlatformFactory } from './platform.ts';
import { AttemptSender } from './attemptSender.ts';
import { EndpointClient } from './endpointClient.ts';
import { runGatewayEffect } from './runners.ts';

/** Limits of the requests of operators, whose commands have no body. */
const ADMIN_LIMITS = {
  operatorBodyBytes: 0,
  headerBytes: MAX_HEADER_BYTES,
  slowSenderMs: DEFAULT_HEADER_TIMEOUT_MS,
};
/** A call to an endpoint: the start of the endpoint and the time at which it was sent. */
type SentCall = Pick<AttemptSpec, 'endpoint' | 'endpointStartedAt' | 'sentAt' | 'relay'>;

/** Interval at which connections to removed endpoints are closed. */
const CONNECTION_SWEEP_INTERVAL_MS = 2_000;

/** A host that forwards requests to the endpoints of a directory: loop, clients and servers. */
export class GatewayHost {
  readonly exchanges = new Map<string, ForwardExchange>();
  readonly memory: CallerMemory;
  readonly pollClock = PollClock.create();
  private readonly clockJumps = ClockJumps.create();
  readonly backlog = AcceptBacklog.create();
  readonly turns = TurnQueue.create(this.backlog, (error) => this.logJobError(error));
  readonly arrivals = ArrivalQueue.create({
    turns: this.turns,
    getFraction: () => this.state.random.getFraction(),
    onResult: (result) => observeArrival(this.observer, result),
  });
  readonly attempts = AttemptSender.create(this);
  readonly state: State;
  readonly observer: Observer;
  readonly platform: Platform;
  readonly links: PeerLinks;
  readonly endpointClient: EndpointClient;
  readonly labels: LabelPort;
  private readonly relayServer: RelayServer;
  private readonly http: HttpClient;
  private readonly engineHttp: HttpClient;
  readonly loop: Loop;
  readonly frontServer: FrontServer;
  /** Undefined if no address for operators is set. */
  readonly adminServer: AdminServer | undefined;
  private readonly sampler: ProcessSampler;
  private readonly servers: StatusServer[] = [];
  /** Aborted when no further address is to be opened. */
  private readonly listening = new AbortController();
  private settingsProblem = '';
  private connectionSweep: NodeJS.Timeout | undefined;
  private readonly stopped: Promise<void>;
  private resolveStopped: () => void = () => undefined;

  private constructor(
    public settings: GatewaySettings,
    newPlatform: PlatformFactory,
  ) {
    const { host, listen, log } = settings;
    this.state = newState(settings);
    this.memory = CallerMemory.create(settings.limits, (eviction) =>
      observeEviction(this.observer, eviction),
    );
    const fields = { host: host.id, zone: host.zone };
    const stream = LogOutputStream.create();
    this.observer = Observer.create(Logger.create({ level: log.level, fields, stream }));
    const { sourceAddress: localAddress } = host;
    this.http = HttpClient.create({ localAddress });
    // A second connection could not be opened while only the first one lives on.
    this.engineHttp = HttpClient.create({
      localAddress,
      maxConnections: 1,
      maxResponseBytes: MAX_REPORT_BYTES,
    });
    this.platform = newPlatform({
      directoryUrl: settings.directory.url,
      call: (call) => this.http.call(call),
      engineCall: (call) => this.engineHttp.call(call),
    });
    this.labels = this.platform.labels;
    this.links = PeerLinks.create({
      identity: this.state.host,
      listen: listen.peers,
      localAddress: host.sourceAddress,
      onEvent: (event) => this.dispatch(event),
      onRelayRequested: (socket, content) => this.relayServer.accept(socket, content),
    });
    this.relayServer = RelayServer.create({
      localAddress: host.sourceAddress,
      findAddress: (endpoint) => getRelayedAddress(this.state, endpoint),
      turns: this.turns,
      onCountChanged: (count) =>
        this.observer.observe(newGauge('fireflywick_relayed_connections', {}, count)),
    });
    this.endpointClient = EndpointClient.create({
      labels: this.labels,
      host: host.id,
      localAddress: host.sourceAddress,
      maxConnections: (endpoint) => this.getMaxConnections(endpoint),
      memory: this.memory,
      turns: this.turns,
      readTurns: ReadTurns.create(),
    });
    this.loop = newObservedLoop({
      state: this.state,
      observer: this.observer,
      pollClock: this.pollClock,
      runEffect: (effect) => runGatewayEffect(this, effect),
      abandonRequest: (id, failure) => this.abandonRequest(id, failure),
    });
    this.frontServer = FrontServer.create(this);
    this.adminServer = this.newAdminServer();
    this.sampler = ProcessSampler.create((observation) => this.observer.observe(observation));
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
  }

  static create(settings: GatewaySettings, newPlatform: PlatformFactory): GatewayHost {
    return new GatewayHost(settings, newPlatform);
  }

  /** Starts the servers and the loop; returns the ports of the servers for callers and operators. */
  async start(): Promise<{ frontPort: number; operatorPort: number | undefined }> {
    const { listen, host } = this.settings;
    await this.links.start();
    await this.serve(listen.ready, (path) => {
      if (path !== this.platform.readyPath) return { status: 404, body: '' };
      return { status: isReady(this.state) ? 200 : 503, body: '' };
    });
    this.startMetrics(listen.metrics);
    const operatorPort = await this.adminServer?.start();
    const frontPort = await this.frontServer.start(listen.front);
    this.sampler.start();
    this.pollClock.start();
    this.connectionSweep = setInterval(() => {
      this.endpointClient.retainKnownEndpoints(
        (endpoint) => this.state.fleet.views.get(endpoint)?.isRemoved === false,
      );
    }, CONNECTION_SWEEP_INTERVAL_MS);
    this.observer.logger.write('info', 'host started', { incarnation: host.incarnation });
    this.dispatch({ type: 'started' });
    return { frontPort, operatorPort };
  }

  /** Stops gracefully: accepts no new requests and resolves when none is in flight. */
  async stop(): Promise<void> {
    this.dispatch({ type: 'stopRequested' });
    await this.stopped;
    clearInterval(this.connectionSweep);
    this.listening.abort();
    await this.frontServer.stop();
    await this.adminServer?.stop();
    this.loop.stop();
    this.attempts.stop();
    this.sampler.stop();
    this.pollClock.stop();
    for (const server of this.servers) server.stop();
    this.memory.stop();
    await this.relayServer.stop(Math.max(0, (this.state.stopAt ?? 0) - performance.now()));
    await this.links.stop();
    await this.endpointClient.close();
    await this.http.close();
    await this.engineHttp.close();
    this.observer.logger.write('info', 'host stopped');
  }

  /** Applies changed settings except those of sockets, which need a restart. */
  updateSettings(settings: GatewaySettings): void {
    this.settingsProblem = '';
    const { host, directory, limits, log } = settings;
    const next = { ...this.settings, directory, limits, log };
    if (host.id !== this.settings.host.id || isDeepStrictEqual(next, this.settings)) return;
    this.settings = next;
    this.state.policy = newPolicy(next);
    this.observer.logger.setLevel(log.level);
    this.observer.logger.write('info', 'settings reloaded', { directory, limits, log });
  }

  /** Logs that the settings are invalid; the same problem is logged once until they are valid. */
  logSettingsProblem(problem: string): void {
    if (problem === this.settingsProblem) return;
    this.settingsProblem = problem;
    this.observer.logger.write('error', 'settings were not reloaded', { problem });
  }

  dispatch(event: Event): void {
    if (this.clockJumps.hasJumped()) this.loop.dispatch({ type: 'clockJumped' });
    this.loop.dispatch(event);
  }

  /** Returns what has to be known of a call to an endpoint, which is sent now, when its answer arrives. */
  newSentCall(endpoint: string): SentCall {
    const endpointStartedAt = this.state.fleet.views.get(endpoint)?.endpoint.startedAt ?? 0;
    return { endpoint, endpointStartedAt, sentAt: this.state.now, relay: undefined };
  }

  /** Sends a message to the hosts whose connections to its endpoint are relayed here. */
  tellRelayedHosts(message: EndpointPaused, except: string | undefined): void {
    for (const host of this.relayServer.getHosts(message.endpoint))
      if (host !== except) this.links.send(host, message);
  }

  /** Reports what the answer to a call says of its endpoint, unless that changes nothing. */
  reportNotice(
    { endpoint, endpointStartedAt: startedAt, sentAt, relay }: SentCall,
    notice: EndpointNotice | undefined,
  ): void {
    if (notice === undefined) return;
    const view = this.state.fleet.views.get(endpoint);
    const isKnown =
      view?.limit?.perS !== undefined ||
      view?.pause !== undefined ||
      view?.brittleness !== undefined;
    const isSilent = Object.values(notice).every(({ type }) => type === 'none');
    if (isKnown || !isSilent)
      this.dispatch({
        type: 'noticeRead',
        endpoint,
        startedAt,
        sentAt,
        relay: relay?.host,
        notice,
      });
  }

  onStopped(): void {
    this.resolveStopped();
  }

  private logJobError(error: unknown): void {
    this.observer.logger.write('error', 'queued job failed', { reason: describeError(error) });
  }

  /** Gives a request its final answer after an error on this host. */
  private abandonRequest(id: string, failure: Failure): void {
    const exchange = this.exchanges.get(id);
    exchange?.abandon(failure);
    // Ends its attempt; not for a request that is gone, since the handler of this event may have failed.
    if (this.exchanges.delete(id)) this.dispatch({ type: 'forwardCancelled', id });
    this.adminServer?.answer(id, { type: 'refused', failure, details: [] });
  }

  private newAdminServer(): AdminServer | undefined {
    const { listen, access } = this.settings;
    if (listen.operators === undefined) return undefined;
    const { state, observer, memory } = this;
    const settings = {
      listen: { operators: listen.operators },
      access: { keys: access.keys ?? [] },
      limits: ADMIN_LIMITS,
    };
    const dispatch = (event: Event): void => this.dispatch(event);
    return AdminServer.create({ state, observer, settings, memory, dispatch }, suspectRoutes);
  }

  /** Returns the path of an endpoint's health check; undefined for an engine. */
  getHealthPath(endpoint: string): string | undefined {
    const service = this.state.fleet.views.get(endpoint)?.endpoint.service ?? '';
    const known = this.state.routeIndex.current?.services.get(service);
    return known === undefined || known.engine !== undefined
      ? undefined
      : (known.healthPath ?? '/');
  }

  private getMaxConnections(endpoint: string): number {
    const service = this.state.fleet.views.get(endpoint)?.endpoint.service ?? '';
    const limit = this.state.routeIndex.current?.services.get(service)?.connectionLimit ?? 0;
    return Math.max(
      MIN_CONNECTIONS_PER_ENDPOINT,
      Math.floor(limit / countLimitSharers(this.state.owners)),
    );
  }

  /** Serves the metrics as soon as their address is free; requests are served without them. */
  private startMetrics(address: SocketAddress | undefined): void {
    const getResponse = (path: string) =>
      path === '/metrics'
        ? { status: 200, body: this.observer.metrics.render() }
        : { status: 404, body: '' };
    this.serve(address, getResponse, Infinity).catch((error: unknown) => {
      const reason = describeError(error);
      this.observer.logger.write('error', 'metrics are not served', { reason });
    });
  }

  private async serve(
    address: SocketAddress | undefined,
    getResponse: (path: string) => { status: number; body: string },
    timeoutMs?: number,
  ): Promise<void> {
    if (address === undefined) return;
    const server = StatusServer.create(getResponse);
    this.servers.push(server);
    const { signal } = this.listening;
    const { host, port } = address;
    await server.start(address, {
      timeoutMs,
      signal,
      onTaken: ({ message }) =>
        this.observer.logger.write('warn', 'address is taken', { host, port, reason: message }),
    });
  }
}

function newState(settings: GatewaySettings): State {
  const { host, listen, limits } = settings;
  const { id, zone, region, incarnation } = host;
  return State.create({
    host: {
      id,
      zone,
      region,
      incarnation,
      address: listen.advertised,
      capacity: getCapacity(limits),
    },
    policy: newPolicy(settings),
    // Random numbers differ between hosts and between restarts of a host.
    randomSeed: hash32(`${id}/${incarnation}`),
  });
}

/** Returns the processor capacity of the host; undefined if the settings do not state it. */
function getCapacity({ cpuShare, cpuSpeed = 1 }: GatewaySettings['limits']): number | undefined {
  return cpuShare === undefined ? undefined : cpuShare * cpuSpeed;
}

function newPolicy({ directory, limits }: GatewaySettings): Policy {
  const { graceMs } = limits;
  const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs, maxKeyAgeMs } = directory;
  return {
    // The first four values apply to requests to entry hosts, which belong to firms; a gateway receives none.
    stallWeight: 0,
    loadsPerS: 1,
    maxRequests: 0,
    maxRequestsPerCaller: 0,
    lameDuckMs: Math.min(limits.lameDuckMs, graceMs * LAME_DUCK_GRACE_SHARE),
    directory: {
      retries: { ratio, slack, windowMs },
      stopMs: graceMs * STOP_GRACE_SHARE,
      maxKeyAgeMs,
    },
  };
}
