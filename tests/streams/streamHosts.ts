import type { Message } from '../../src/core/messages.ts';
import type { Endpoint } from '../../src/fleet/types.ts';
import type { ForwardOutcome, RequestLabels } from '../../src/forwards/types.ts';
import type { Route } from '../../src/routes/types.ts';
import { type DirectoryChange, Topic } from '../../src/directory/types.ts';
import {
  DirectoryHost,
  type EffectOf,
  newDirectoryChange,
  newEndpoint,
} from '../helpers/directoryHost.ts';

const ROUTE: Partial<Route> = {
  kind: 'stream',
  isResumable: true,
  attempts: 2,
  timeoutMs: 12_000,
  goalMs: 1_000,
};
/** Time of the directory's clock when the clocks of hosts start. */
const CLOCK_MS = 5_000_000;
/** Time after which hosts call the directory again. */
const WATCH_INTERVAL_MS = 500;
/** Interval at which the directory confirms that nothing has changed. */
const CONFIRMATION_INTERVAL_MS = 100;
/** Longest time until a resumed stream is placed or refused. */
const DECISION_MS = 700;

/** What became of a request: the software version of its endpoint, or why it was refused. */
export interface Placement {
  version: string | undefined;
  refusal: string | undefined;
}

/** Linked hosts of two zones in front of endpoints that run one software version each. */
export class StreamHosts {
  readonly hosts = new Map<string, DirectoryHost>();
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly unlinked = new Set<string>();
  /** Hosts that the directory and its readers do not reach. */
  private readonly outOfStep = new Set<string>();
  private readonly members: { host: string; zone: string }[];
  private directoryVersion = 100;
  private splits: DirectoryChange | undefined;
  /** Monotonic ms of the last kill. */
  private killedAt = 1_000;
  private nextRequest = 0;
  /** Time after which the caller of the last refused request was told to return, in ms. */
  lastReturnMs = 0;
  /** Whether a host drops a message, as one of an earlier version drops types that it does not know. */
  isDropped: (to: string, message: Message) => boolean = () => false;

  private constructor(
    count: number,
    /** Whether hosts know the directory's clock, without which they write no splits. */
    private readonly hasClock: boolean,
  ) {
    this.members = Array.from({ length: count }, (_, index) => ({
      host: `h${index}`,
      zone: index % 2 === 0 ? 'z1' : 'z2',
    }));
  }

  /** Creates hosts that have been running for `ageMs` with endpoints `e0` and `e1` of version v1. */
  static create(count: number, ageMs = 100_000, hasClock = false): StreamHosts {
    const cluster = new StreamHosts(count, hasClock);
    for (const id of ['e0', 'e1'])
      cluster.endpoints.set(id, newEndpoint({ id, zone: 'z9', softwareVersion: 'v1' }));
    for (const { host } of cluster.members) cluster.start(host, 1_000);
    for (const { host } of cluster.members) cluster.openLinks(host);
    cluster.advance(ageMs);
    return cluster;
  }

  get ids(): string[] {
    return this.members.map(({ host }) => host);
  }

  /** Kills a host, which closes its links. */
  kill(id: string): void {
    this.killedAt = this.hosts.get(id)?.now ?? this.killedAt;
    this.hosts.delete(id);
    for (const other of this.hosts.values())
      other.dispatch({ type: 'linkClosed', host: id, reason: 'killed' });
  }

  /** Starts a host again without what its earlier process knew. */
  restart(id: string): void {
    const [other] = this.hosts.values();
    this.kill(id);
    this.start(id, other?.now ?? this.killedAt);
    this.openLinks(id);
  }

  /** Lets a host learn of nothing, with links that carry nothing. */
  muteLinks(id: string): void {
    this.outOfStep.add(id);
    this.unlinked.add(id);
  }

  /** Cuts the links of a host to all others. */
  cutLinks(id: string): void {
    this.unlinked.add(id);
    for (const [other, host] of this.hosts) {
      if (other === id) continue;
      host.dispatch({ type: 'linkClosed', host: id, reason: 'cut' });
      this.hosts.get(id)?.dispatch({ type: 'linkClosed', host: other, reason: 'cut' });
    }
  }

  /** Registers an endpoint on all hosts, or on those named. */
  register(change: Partial<Endpoint> & { id: string }, hosts: readonly string[] = this.ids): void {
    this.registerAtOnce(change, hosts);
    this.advance(WATCH_INTERVAL_MS);
  }

  /** Registers an endpoint without any time for the hosts to do more than learn of it. */
  registerAtOnce(
    change: Partial<Endpoint> & { id: string },
    hosts: readonly string[] = this.ids,
  ): void {
    const endpoint = newEndpoint({ zone: 'z9', sequence: this.directoryVersion, ...change });
    this.endpoints.set(endpoint.id, endpoint);
    this.directoryVersion += 1;
    const content = { type: 'endpoint' as const, endpoint };
    const changes = [newDirectoryChange(endpoint.id, this.directoryVersion, content)];
    for (const id of hosts)
      this.hosts.get(id)?.answerDirectoryCall('endpoints', changes, this.directoryVersion);
  }

  remove(id: string): void {
    this.directoryVersion += 1;
    const changes = [newDirectoryChange(id, this.directoryVersion, { type: 'removed' })];
    for (const host of this.hosts.values())
      host.answerDirectoryCall('endpoints', changes, this.directoryVersion);
    this.advance(WATCH_INTERVAL_MS);
  }

  failDirectory(): void {
    for (const host of this.hosts.values()) host.failDirectoryCall('endpoints');
  }

  /** Begins a stream and passes on its first event; returns the version that began it. */
  begin(host: string, attemptId: string): Placement {
    const id = this.send(host, { attemptId });
    const placement = this.settle(host, id);
    const attempt = this.hosts.get(host)?.state.forwards.inFlight.get(id)?.attempt?.id ?? '';
    this.hosts.get(host)?.dispatch({ type: 'forwardStarted', id, attempt });
    this.deliver();
    return placement;
  }

  /** Sends a request that resumes a stream; returns where it goes on. */
  resume(host: string, attemptId: string, labels: Partial<RequestLabels>): Placement {
    return this.settle(host, this.send(host, { attemptId, hasLastEventId: true, ...labels }));
  }

  /** The caller of a host's newest request closes its connection. */
  endAttempt(host: string): void {
    const process = this.hosts.get(host);
    const forward = [...(process?.state.forwards.inFlight.values() ?? [])].at(-1);
    process?.dispatch({ type: 'forwardCancelled', id: forward?.id ?? '' });
    this.deliver();
  }

  /** A host learns that an endpoint refuses its connections and those of another host. */
  refuseConnections(host: string, endpoint: string): void {
    const startedAt = this.endpoints.get(endpoint)?.startedAt ?? 0;
    const check = { type: 'endpointChecked' as const, endpoint, startedAt, isRefused: true };
    this.hosts
      .get(host)
      ?.dispatch(check)
      .dispatch({ ...check, relay: this.ids.at(-1) });
  }

  /** Breaks the attempt in flight of a host's newest request; returns where it goes on. */
  break(host: string, lastEventId: string): Placement {
    const process = this.hosts.get(host);
    const forward = [...(process?.state.forwards.inFlight.values() ?? [])].at(-1);
    if (process === undefined || forward?.attempt === undefined) throw new Error('no attempt');
    const outcome: ForwardOutcome = { type: 'broken', reason: 'reset', lastEventId };
    process.takeAllEffects();
    process.dispatch({
      type: 'forwardEnded',
      id: forward.id,
      attempt: forward.attempt.id,
      outcome,
    });
    return this.settle(host, forward.id);
  }

  advance(ms: number): void {
    for (const host of this.hosts.values()) host.advance(ms);
    this.deliver();
  }

  /** The directory confirms to the hosts that it reaches that they know the newest entries. */
  private confirmTopics(): void {
    for (const [id, host] of this.hosts) {
      if (this.outOfStep.has(id)) continue;
      for (const topic of Topic.options) {
        const { isCallInFlight, unavailableSince } = host.state.directory.topics[topic];
        if (isCallInFlight && unavailableSince === undefined)
          host.answerDirectoryCall(topic, [], this.directoryVersion);
      }
    }
  }

  private start(id: string, now: number): void {
    const zone = this.members.find(({ host }) => host === id)?.zone ?? '';
    const host = DirectoryHost.create(id, zone, now);
    const endpoints = [...this.endpoints.values()];
    host.configure({ routes: [ROUTE], endpoints, members: this.members });
    this.hosts.set(id, host);
    if (!this.hasClock) return;
    const changes = this.splits === undefined ? [] : [this.splits];
    host.answerDirectoryCall('members', changes, this.directoryVersion, false, CLOCK_MS + now);
  }

  private openLinks(id: string): void {
    if (this.unlinked.has(id)) return;
    for (const [other, host] of this.hosts) {
      if (other === id || this.unlinked.has(other)) continue;
      host.dispatch({ type: 'linkOpened', host: id });
      this.hosts.get(id)?.dispatch({ type: 'linkOpened', host: other });
    }
    this.deliver();
  }

  private send(host: string, labels: Partial<RequestLabels>): string {
    this.nextRequest += 1;
    const id = `f${this.nextRequest}`;
    // The attempts of one stream have one fingerprint.
    const fingerprint = `p${(labels.resumedAttempt ?? labels.attemptId ?? '').slice(1)}`;
    const process = this.hosts.get(host);
    process?.takeAllEffects();
    process?.receiveForward({ id, fingerprint, arrivedAt: process.now, labels });
    return id;
  }

  /** Delivers messages until a request is sent or refused. */
  private settle(host: string, id: string): Placement {
    const placement: Placement = { version: undefined, refusal: undefined };
    for (let waitedMs = 0; waitedMs <= DECISION_MS; waitedMs += 10) {
      this.deliver((from, effects) => {
        if (from !== host) return;
        for (const effect of effects) {
          if (effect.type === 'sendForward' && effect.spec.id === id)
            placement.version = this.endpoints.get(effect.spec.endpoint)?.softwareVersion;
          if (effect.type === 'failForward' && effect.id === id) {
            placement.refusal = effect.failure.kind;
            this.lastReturnMs = (effect.failure.retryAfterS ?? 0) * 1_000;
          }
        }
      });
      if (placement.version !== undefined || placement.refusal !== undefined) return placement;
      for (const process of this.hosts.values()) process.advance(10);
      if (waitedMs % CONFIRMATION_INTERVAL_MS === 0) this.confirmTopics();
    }
    return placement;
  }

  /** Writes the row of splits, which all hosts read at once. */
  private writeSplits(host: DirectoryHost, { content }: EffectOf<'writeRow'>): void {
    this.directoryVersion += 1;
    const version = this.directoryVersion;
    this.splits = newDirectoryChange('versionSplits', version, content);
    const answer = { type: 'written' as const, version };
    host.dispatch({ type: 'rowWriteAnswered', content, answer });
    const told = { type: 'topicTold' as const, topic: 'members' as const, after: 0, upTo: version };
    for (const [id, other] of this.hosts)
      if (!this.outOfStep.has(id))
        other.receiveMessage('directory', { ...told, changes: [this.splits] });
  }

  /** Delivers the messages of all hosts until none is left. */
  private deliver(
    observe: (from: string, effects: ReturnType<DirectoryHost['takeAllEffects']>) => void = () =>
      undefined,
  ): void {
    for (let isIdle = false; !isIdle;) {
      isIdle = true;
      for (const [from, host] of this.hosts) {
        const effects = host.takeAllEffects();
        observe(from, effects);
        for (const effect of effects) {
          if (effect.type === 'writeRow' && effect.content.type === 'versionSplits')
            this.writeSplits(host, effect);
          if (effect.type !== 'sendMessage' || effect.to === from) continue;
          if (this.unlinked.has(from) || this.unlinked.has(effect.to)) continue;
          if (this.isDropped(effect.to, effect.message)) continue;
          this.hosts.get(effect.to)?.receiveMessage(from, effect.message);
          isIdle = false;
        }
      }
    }
  }
}
