import type { Effect } from '../../src/core/effects.ts';
import {
  type DirectoryContent,
  type DirectoryWriteAnswer,
  type HostRow,
  Topic,
} from '../../src/directory/types.ts';
import type { Failure } from '../../src/errors/failure.ts';
import type { Endpoint } from '../../src/fleet/types.ts';
import type { AttemptSpec, ForwardOutcome, RequestLabels } from '../../src/forwards/types.ts';
import type { Route, Tenant } from '../../src/routes/types.ts';
import { DirectoryHost, newDirectoryChange, newEndpoint, newMembersRow } from './directoryHost.ts';
import { newNoticeEvent } from './notices.ts';

/** What an endpoint does with an attempt. */
export type EndpointReaction = 'crash' | 'crashSilently' | 'break' | 'answer' | 'fail' | 'turnAway';

/** What a request has besides its fingerprint. */
export interface RequestTraits {
  caller?: string;
  labels?: Partial<RequestLabels>;
}

/** An attempt that a host sent to an endpoint. */
export interface SentAttempt {
  at: number;
  host: string;
  endpoint: string;
  fingerprint: string;
  reaction: EndpointReaction;
  /** Unix ms of the start of the endpoint. */
  startedAt: number;
  /** Monotonic ms at which the present start of the endpoint first named a limit, and to this host. */
  namedAt: number;
  toldAt: number;
}

/** An answer that told a host that its endpoint leaves, or wants nothing for `pauseMs`. */
export interface ReceivedNotice {
  at: number;
  host: string;
  endpoint: string;
  /** Unix ms of the start of the endpoint. */
  startedAt: number;
  isLeaving: boolean;
  pauseMs: number | undefined;
}

/** An attempt on which an endpoint works. */
interface RunningAttempt {
  endpoint: string;
  end: (outcome: ForwardOutcome) => void;
}

const BROKEN: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId: undefined };
/** Outcome of an attempt by what the endpoint does with it; none while the endpoint is silent. */
const OUTCOMES: Record<EndpointReaction, ForwardOutcome | undefined> = {
  crash: BROKEN,
  break: BROKEN,
  crashSilently: undefined,
  answer: { type: 'answered', status: 200 },
  fail: { type: 'answered', status: 500 },
  turnAway: { type: 'notRun', reason: 'full' },
};
const DEFAULT_ENDPOINTS = 4;
/** How an endpoint that crashed comes back. */
export interface EndpointRestart {
  /** Time after which it accepts connections and registers again. */
  afterMs: number;
  /** Whether it registers under a new id, at its address. */
  hasNewId: boolean;
  /** Time after which the entry of its earlier id is removed. */
  entryTtlMs: number;
}

const DEFAULT_RESTART: EndpointRestart = { afterMs: 1_500, hasNewId: false, entryTtlMs: Infinity };
/** Longest time after which a host retries a failed directory call. */
const DIRECTORY_RETRY_MS = 1_100;
const STEP_MS = 20;
const SUSPECTS_KEY = 'suspects';

/** Hosts with a directory that are linked with each other, in front of endpoints that may crash. */
export class GatewayCluster {
  now = 1_000;
  readonly hosts = new Map<string, DirectoryHost>();
  readonly sent: SentAttempt[] = [];
  /** Failure kind or `passed` for each request that ended, in order. */
  readonly results: string[] = [];
  /** Monotonic ms at which endpoints crashed, in order. */
  readonly crashTimes: number[] = [];
  /** Requests per second that endpoints name in their answers, by endpoint. */
  readonly namedLimits = new Map<string, number>();
  /** Endpoints that say in their answers that they leave. */
  readonly leaving = new Set<string>();
  /** Times in ms for which endpoints turn all requests away, by endpoint. */
  readonly namedPauses = new Map<string, number>();
  /** Answers by which endpoints told hosts that they leave, or turned their requests away. */
  readonly notices: ReceivedNotice[] = [];
  /** Monotonic ms at which the present start of an endpoint first named a limit to each host. */
  private readonly toldAt = new Map<string, Map<string, number>>();
  /** Monotonic ms of the last start of each host. */
  readonly hostStartedAt = new Map<string, number>();
  /** Called when a request ends with a failure. */
  onFailure: (host: string, request: string, failure: Failure) => void = () => undefined;
  /** Returns what an endpoint does with an attempt of `fingerprint`. */
  react: (fingerprint: string, traits: RequestTraits) => EndpointReaction = () => 'answer';
  /** Returns for how long an endpoint works on an attempt before it reacts, in ms. */
  getWorkMs: (reaction: EndpointReaction) => number = () => STEP_MS;
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly requests = new Map<string, { fingerprint: string; traits: RequestTraits }>();
  private readonly running = new Map<string, RunningAttempt>();
  /** Monotonic ms until which endpoints that crashed refuse connections. */
  private readonly downUntil = new Map<string, number>();
  private readonly blockedHosts = new Set<string>();
  /** Sides of a partition: hosts of different sides have no links. */
  private readonly sides = new Map<string, number>();
  private readonly hostsWithoutDirectory = new Set<string>();
  /** Monotonic ms until which hosts do not run. */
  private readonly frozenUntil = new Map<string, number>();
  private suspectsRow: { content: DirectoryContent; version: number } | undefined;
  private readonly pending: { at: number; run: () => void }[] = [];
  private version = 100;
  private nextRequest = 0;

  private constructor(
    readonly ids: readonly string[],
    private readonly route: Partial<Route>,
    private readonly hasOutages: boolean,
    private readonly restart: EndpointRestart,
    private readonly zones: number,
    private readonly tenants: Tenant[] | undefined,
  ) {}

  static create(options: {
    hosts: number;
    endpoints?: number;
    route?: Partial<Route>;
    /** Whether a crash breaks all attempts of the endpoint, which then refuses connections for a time. */
    hasOutages?: boolean;
    restart?: EndpointRestart;
    /** Service of the endpoints; `llm` for engines. */
    service?: 'desk' | 'llm';
    /** Availability zones over which hosts and endpoints are spread. */
    zones?: number;
    tenants?: Tenant[];
  }): GatewayCluster {
    const { route = { kind: 'unsafe', attempts: 1 }, hasOutages = false, zones = 1 } = options;
    const ids = Array.from({ length: options.hosts }, (_, index) => `h${index}`);
    const restart = options.restart ?? DEFAULT_RESTART;
    const cluster = new GatewayCluster(ids, route, hasOutages, restart, zones, options.tenants);
    for (let index = 0; index < (options.endpoints ?? DEFAULT_ENDPOINTS); index++) {
      const id = `e${index}`;
      const address = `10.0.1.${index}:80`;
      const { service = 'desk' } = options;
      const models = service === 'llm' ? ['base'] : [];
      const zone = cluster.getZone(index);
      cluster.endpoints.set(id, newEndpoint({ id, address, zone, service, models }));
    }
    for (const id of ids) cluster.startHost(id);
    cluster.advance(100);
    return cluster;
  }

  /** Writes a changed entry of an endpoint to the directory, for new ones too. */
  register(id: string, change: Partial<Endpoint>): void {
    const endpoint = { ...(this.endpoints.get(id) ?? newEndpoint({ id })), ...change };
    this.endpoints.set(id, endpoint);
    this.announce(id, { type: 'endpoint', endpoint });
    this.runEffects();
  }

  /** Starts an endpoint again under its id, without what its earlier start said. */
  restartAtOnce(id: string): void {
    this.leaving.delete(id);
    this.namedPauses.delete(id);
    this.register(id, { startedAt: this.now, isLeaving: false });
  }

  /** Starts a host, or restarts it without what its earlier process knew. */
  startHost(id: string): void {
    this.hostStartedAt.set(id, this.now);
    const host = DirectoryHost.create(id, this.getZone(this.ids.indexOf(id)), this.now);
    this.hosts.set(id, host);
    host.configure({
      routes: [this.route],
      tenants: this.tenants,
      endpoints: [...this.endpoints.values()],
      members: this.ids.map((member, index) => ({ host: member, zone: this.getZone(index) })),
    });
    this.sendSuspectsRow(id);
    this.openLinks(id);
  }

  /** Stops hosts for `ms`; what arrives meanwhile is handled afterwards. */
  freeze(ids: readonly string[], ms: number): void {
    for (const id of ids) this.frozenUntil.set(id, this.now + ms);
  }

  /** Cuts the links of the hosts to all others, which both ends notice. */
  cutLinks(ids: readonly string[]): void {
    for (const id of ids) {
      this.blockedHosts.add(id);
      for (const other of this.hosts.keys()) {
        if (other === id) continue;
        this.getHost(id).dispatch({ type: 'linkClosed', host: other, reason: 'cut' });
        this.getHost(other).dispatch({ type: 'linkClosed', host: id, reason: 'cut' });
      }
    }
  }

  /** Cuts the links between hosts of different sides, which both ends notice. */
  partition(...sides: readonly (readonly string[])[]): void {
    sides.forEach((ids, side) => {
      for (const id of ids) this.sides.set(id, side);
    });
    for (const id of this.hosts.keys()) {
      for (const host of this.hosts.keys()) {
        if (this.isCut(id, host))
          this.getHost(id).dispatch({ type: 'linkClosed', host, reason: 'cut' });
      }
    }
    this.runEffects();
  }

  /** Kills a host; the others notice that its links close. */
  stopHost(id: string): void {
    this.hosts.delete(id);
    for (const host of this.hosts.values())
      host.dispatch({ type: 'linkClosed', host: id, reason: 'killed' });
    this.runEffects();
  }

  /** Lets `hosts` read a members row; hosts that start later read the row of the beginning. */
  setMembers(members: readonly string[], epoch: number, hosts: readonly string[] = this.ids): void {
    const row = newMembersRow(
      epoch,
      members.map((host) => ({ host, zone: this.getZone(this.ids.indexOf(host)) })),
    );
    for (const host of hosts) {
      if (this.hosts.has(host))
        this.sendChange(host, 'members', 'members', { type: 'members', row });
    }
    this.runEffects();
  }

  /** Opens all links again. */
  healLinks(): void {
    this.sides.clear();
    const healed = [...this.hosts.keys()];
    this.blockedHosts.clear();
    for (const id of healed) this.openLinks(id);
    this.runEffects();
  }

  /** Lets the hosts neither read nor write the directory. */
  cutDirectory(ids: readonly string[]): void {
    for (const id of ids) {
      this.hostsWithoutDirectory.add(id);
      for (const topic of Topic.options) this.getHost(id).failDirectoryCall(topic);
    }
  }

  /** Lets all hosts read and write the directory again; takes as long as their calls are retried. */
  healDirectory(): void {
    const healed = [...this.hostsWithoutDirectory];
    this.hostsWithoutDirectory.clear();
    this.advance(DIRECTORY_RETRY_MS);
    for (const id of healed) {
      const endpoints = [...this.endpoints.values()].map((endpoint) =>
        newDirectoryChange(endpoint.id, ++this.version, { type: 'endpoint', endpoint }),
      );
      const host = this.getHost(id);
      host.answerDirectoryCall('operator', [], this.version);
      host.answerDirectoryCall('endpoints', endpoints, this.version);
      host.answerDirectoryCall('members', [], this.version);
      this.sendSuspectsRow(id);
    }
    this.runEffects();
  }

  /** Attributes in the row of suspects, or undefined if it is absent or malformed. */
  get storedAttributes(): string[] | undefined {
    const content = this.suspectsRow?.content;
    if (content?.type !== 'suspects') return undefined;
    return content.row.suspects.map(({ attribute }) => attribute);
  }

  /** Changes the row of suspects as others than the hosts do; undefined deletes it. */
  replaceSuspectsRow(content: DirectoryContent | undefined): void {
    this.version += 1;
    this.suspectsRow = content && { content, version: this.version };
  }

  /** Whether the host reads the directory. */
  hasDirectory(id: string): boolean {
    return !this.hostsWithoutDirectory.has(id);
  }

  /** Id of the next request. */
  get nextRequestId(): string {
    return `f${this.nextRequest + 1}`;
  }

  /** Sends a request to a host; returns its id. */
  request(host: string, fingerprint: string, traits: RequestTraits = {}): string {
    const id = this.nextRequestId;
    this.nextRequest += 1;
    this.requests.set(id, { fingerprint, traits });
    const arrivedAt = this.now;
    this.runOnHost(host, () => {
      this.hosts.get(host)?.receiveForward({ id, fingerprint, arrivedAt, ...traits });
    });
    this.runEffects();
    return id;
  }

  /** The caller of a request closes its connection. */
  cancel(host: string, id: string): void {
    this.getHost(host).dispatch({ type: 'forwardCancelled', id });
    this.runEffects();
  }

  advance(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += STEP_MS;
      for (const [id, host] of this.hosts)
        if (!this.isFrozen(id)) host.advance(this.now - host.now);
      for (const due of this.pending.filter(({ at }) => at <= this.now)) {
        this.pending.splice(this.pending.indexOf(due), 1);
        due.run();
      }
      this.runEffects();
    }
  }

  /** Returns the attempts that an endpoint crashed on. */
  get crashes(): SentAttempt[] {
    return this.sent.filter(({ reaction }) => reaction.startsWith('crash'));
  }

  private getZone(index: number): string {
    return `z${1 + (index % this.zones)}`;
  }

  private isCut(a: string, b: string): boolean {
    const isBlocked = this.blockedHosts.has(a) || this.blockedHosts.has(b);
    return isBlocked || this.sides.get(a) !== this.sides.get(b);
  }

  private openLinks(id: string): void {
    for (const other of this.hosts.keys()) {
      if (other === id || this.isCut(id, other)) continue;
      this.getHost(id).dispatch({ type: 'linkOpened', host: other });
      this.getHost(other).dispatch({ type: 'linkOpened', host: id });
    }
  }

  private getHost(id: string): DirectoryHost {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`host ${id} does not exist`);
    return host;
  }

  private runEffects(): void {
    let hasRun = true;
    while (hasRun) {
      hasRun = false;
      for (const [id, host] of this.hosts) {
        for (const effect of host.takeAllEffects()) {
          hasRun = true;
          this.runEffect(id, host, effect);
        }
      }
    }
  }

  private runEffect(id: string, host: DirectoryHost, effect: Effect): void {
    switch (effect.type) {
      case 'sendMessage': {
        const { to, message } = effect;
        if (to !== id && !this.isCut(id, to))
          this.runOnHost(to, () => void this.hosts.get(to)?.receiveMessage(id, message));
        return;
      }
      case 'sendForward':
        this.handleAttempt(id, host, effect.spec);
        return;
      case 'checkEndpoint': {
        const { endpoint, startedAt, relay } = effect;
        const isRefused = this.now < (this.downUntil.get(endpoint) ?? -Infinity);
        host.dispatch({
          type: 'endpointChecked',
          endpoint,
          startedAt,
          relay: relay?.host,
          isRefused,
          isRunning: !isRefused,
        });
        return;
      }
      case 'cancelForward':
        this.running.delete(`${id}/${effect.attempt}`);
        return;
      case 'writeRow': {
        const { content, version } = effect;
        if (content.type !== 'suspects') return;
        const answer: DirectoryWriteAnswer = this.hostsWithoutDirectory.has(id)
          ? { type: 'unavailable', reason: 'cut' }
          : this.writeSuspects(content, version);
        host.dispatch({ type: 'rowWriteAnswered', content, answer });
        if (answer.type !== 'written') return;
        for (const other of this.hosts.keys()) this.sendSuspectsRow(other);
        return;
      }
      case 'failForward':
        this.results.push(effect.failure.kind);
        this.onFailure(id, effect.id, effect.failure);
        return;
      case 'passResponse':
        this.results.push('passed');
        return;
      default:
    }
  }

  private handleAttempt(id: string, host: DirectoryHost, spec: AttemptSpec): void {
    const { id: request, attempt, endpoint } = spec;
    const { fingerprint, traits } = this.requests.get(request) ?? { fingerprint: '', traits: {} };
    const reaction = this.namedPauses.has(endpoint) ? 'turnAway' : this.react(fingerprint, traits);
    const key = `${id}/${attempt}`;
    this.running.set(key, {
      endpoint,
      end: (outcome) => {
        this.running.delete(key);
        if (outcome.type === 'answered' || outcome.type === 'notRun') this.reportNotice(host, spec);
        host.dispatch({ type: 'forwardEnded', id: request, attempt, outcome });
      },
    });
    if (this.now < (this.downUntil.get(endpoint) ?? -Infinity)) {
      this.endAttemptAfter(key, STEP_MS, { type: 'unreachable', reason: 'refused' });
      return;
    }
    if (!this.endpoints.has(endpoint)) {
      this.endAttemptAfter(key, STEP_MS, { type: 'notRun', reason: 'otherEndpoint' });
      return;
    }
    const told = this.toldAt.get(endpoint);
    const namedAt = Math.min(Infinity, ...(told?.values() ?? []));
    const toldAt = told?.get(id) ?? Infinity;
    const { startedAt = 0 } = this.endpoints.get(endpoint) ?? {};
    this.sent.push({
      at: this.now,
      host: id,
      endpoint,
      fingerprint,
      reaction,
      startedAt,
      namedAt,
      toldAt,
    });
    if (this.hasOutages && reaction === 'crash') {
      this.pending.push({
        at: this.now + this.getWorkMs(reaction),
        run: () => {
          if (this.running.has(key)) this.crashEndpoint(endpoint);
        },
      });
      return;
    }
    if (reaction.startsWith('crash')) this.restartEndpoint(endpoint);
    const outcome = OUTCOMES[reaction];
    if (outcome !== undefined) this.endAttemptAfter(key, this.getWorkMs(reaction), outcome);
  }

  private reportNotice(host: DirectoryHost, spec: AttemptSpec): void {
    const { endpoint } = spec;
    const id = host.state.host.id;
    const perS = this.namedLimits.get(endpoint);
    const pauseMs = this.namedPauses.get(endpoint);
    const isLeaving = this.leaving.has(endpoint);
    const { startedAt = 0 } = this.endpoints.get(endpoint) ?? {};
    host.dispatch(
      newNoticeEvent(spec, {
        ...(perS === undefined ? {} : { limit: { type: 'rate', perS } }),
        ...(pauseMs === undefined ? {} : { pause: { type: 'pause', ms: pauseMs } }),
        ...(isLeaving ? { leaving: { type: 'leaving' } } : {}),
      }),
    );
    if (isLeaving || pauseMs !== undefined)
      this.notices.push({ at: this.now, host: id, endpoint, startedAt, isLeaving, pauseMs });
    if (perS === undefined) return;
    const told = this.toldAt.get(endpoint) ?? new Map<string, number>();
    this.toldAt.set(endpoint, told);
    if (!told.has(id)) told.set(id, this.now);
  }

  private endAttemptAfter(key: string, delayMs: number, outcome: ForwardOutcome): void {
    this.pending.push({
      at: this.now + delayMs,
      run: () => this.runOnHost(key.split('/')[0] ?? '', () => this.running.get(key)?.end(outcome)),
    });
  }

  private isFrozen(id: string): boolean {
    return (this.frozenUntil.get(id) ?? -Infinity) > this.now;
  }

  /** Runs what happens on a host, once it runs again if it is frozen. */
  private runOnHost(id: string, run: () => void): void {
    if (this.isFrozen(id)) this.pending.push({ at: this.frozenUntil.get(id) ?? this.now, run });
    else run();
  }

  /** Breaks all attempts of an endpoint, which refuses connections until it has restarted. */
  private crashEndpoint(id: string): void {
    this.downUntil.set(id, this.now + this.restart.afterMs);
    this.restartEndpoint(id);
    for (const attempt of [...this.running.values()]) {
      if (attempt.endpoint === id) attempt.end(BROKEN);
    }
  }

  private restartEndpoint(id: string): void {
    const { afterMs, hasNewId, entryTtlMs } = this.restart;
    const former = this.endpoints.get(id);
    if (former === undefined) return;
    this.crashTimes.push(this.now);
    this.toldAt.delete(id);
    const startedAt = this.now + (hasNewId ? afterMs : 0);
    const endpoint = { ...former, id: hasNewId ? `${id}'` : id, startedAt };
    if (hasNewId) this.endpoints.delete(id);
    else this.endpoints.set(id, endpoint);
    this.pending.push({
      at: this.now + afterMs,
      run: () => {
        this.endpoints.set(endpoint.id, endpoint);
        this.announce(endpoint.id, { type: 'endpoint', endpoint });
      },
    });
    if (!hasNewId) return;
    const at = this.now + entryTtlMs;
    this.pending.push({ at, run: () => this.announce(id, { type: 'removed' }) });
  }

  private announce(id: string, content: DirectoryContent): void {
    for (const host of this.hosts.keys()) this.sendChange(host, 'endpoints', id, content);
  }

  private writeSuspects(content: HostRow, version: number): DirectoryWriteAnswer {
    const known = this.suspectsRow;
    if ((known?.version ?? 0) !== version) {
      const current = known && newDirectoryChange(SUSPECTS_KEY, known.version, known.content);
      return { type: 'conflict', current };
    }
    this.version += 1;
    this.suspectsRow = { content, version: this.version };
    return { type: 'written', version: this.version };
  }

  private sendSuspectsRow(id: string): void {
    if (this.suspectsRow === undefined) return;
    this.sendChange(
      id,
      'members',
      SUSPECTS_KEY,
      this.suspectsRow.content,
      this.suspectsRow.version,
    );
  }

  private sendChange(
    id: string,
    topic: 'endpoints' | 'members',
    key: string,
    content: DirectoryContent,
    version = ++this.version,
  ): void {
    if (this.hostsWithoutDirectory.has(id)) return;
    const changes = [newDirectoryChange(key, version, content)];
    const told = { type: 'topicTold' as const, topic, after: 0, upTo: version, changes };
    this.getHost(id).receiveMessage('directory', told);
  }
}
