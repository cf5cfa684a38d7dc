import { MinHeap } from '../../src/base/minHeap.ts';
import type { Effect } from '../../src/core/effects.ts';
import { type DirectoryAnswer, Topic } from '../../src/directory/types.ts';
import { DIRECTORY_TIMEOUT_MS } from '../../src/gatewayHost/constants.ts';
import type { Route } from '../../src/routes/types.ts';
import { DirectoryHost, newMembersRow, newRoutingContent } from './directoryHost.ts';
import { MemoryDirectory } from './memoryDirectory.ts';

/** What the directory does with the calls of one host. */
export type DirectoryReaction = 'answers' | 'refuses' | 'ignores';

/** A routing table that the operator confirmed. */
interface Confirmation {
  version: number;
  at: number;
  /** Monotonic ms at which each host first had it or a newer one in force. */
  appliedAt: Map<string, number>;
}

const ZONE = 'z1';
/** Time of a call that the directory answers at once, and of a message between two hosts. */
const ANSWER_MS = 4;
const LINK_MS = 1;
/** Time after which a link that was reset is open again. */
const RELINK_MS = 60;

/** Reducers of the hosts of a group that are linked with each other, and the directory that they read. */
export class DirectoryGroup {
  now = 1_000;
  readonly hosts = new Map<string, DirectoryHost>();
  readonly directory = MemoryDirectory.create();
  readonly confirmations: Confirmation[] = [];
  /** What the directory does with the calls of a host; it answers all others. */
  readonly reactions = new Map<string, DirectoryReaction>();
  /** Time by which the messages of a host to others are late, in ms. */
  readonly messageDelays = new Map<string, number>();
  /** Called after each step, with the host that it concerned. */
  onStep: (host: DirectoryHost) => void = () => undefined;
  /** Calls that hosts made. */
  calls = 0;
  private readonly pending = MinHeap.create<() => void>();
  /** Monotonic ms until which hosts do not run. */
  private readonly frozenUntil = new Map<string, number>();
  private readonly links = new Map<string, { isOpen: boolean; opened: number }>();
  private tableVersion = 1;

  private constructor(readonly ids: readonly string[]) {}

  static create({ hosts }: { hosts: number }): DirectoryGroup {
    const ids = Array.from({ length: hosts }, (_, index) => `h${index}`);
    const group = new DirectoryGroup(ids);
    const members = ids.map((host) => ({ host, zone: ZONE }));
    group.directory.write('operator', 'config', newRoutingContent(1, [{}]));
    group.directory.write('members', 'members', {
      type: 'members',
      row: newMembersRow(1, members),
    });
    for (const id of ids) group.startHost(id);
    group.advance(3_000);
    return group;
  }

  /** Starts a host, or starts it again without what its earlier process knew. */
  startHost(id: string): void {
    const host = DirectoryHost.create(id, ZONE, this.now);
    this.hosts.set(id, host);
    this.runEffects(host);
    for (const other of this.ids) if (other !== id) this.openLink(id, other);
  }

  /** Ends the process of a host, which the others notice at once. */
  killHost(id: string): void {
    this.hosts.delete(id);
    for (const other of this.ids) if (other !== id) this.closeLink(id, other);
  }

  /** Stops a host for `ms`; what arrives meanwhile is handled afterwards. */
  freeze(id: string, ms: number): void {
    this.frozenUntil.set(id, this.now + ms);
    this.schedule(ms, () => this.runTimers(id));
  }

  /** Loses the messages that are under way between two hosts; their link opens again after a moment. */
  resetLink(a: string, b: string): void {
    this.closeLink(a, b);
    this.schedule(RELINK_MS, () => this.openLink(a, b));
  }

  /** The operator confirms a routing table. */
  confirmRoutes(routes: Partial<Route>[] = [{}]): void {
    const version = ++this.tableVersion;
    this.confirmations.push({ version, at: this.now, appliedAt: new Map() });
    this.write('operator', 'config', newRoutingContent(version, routes));
  }

  /** Writes a row of the directory, which watches return. */
  write(...change: Parameters<MemoryDirectory['write']>): void {
    this.directory.write(...change);
  }

  /** Returns the host that most hosts take for the reader, as its heartbeats reach them. */
  getReader(): string | undefined {
    const counts = new Map<string, number>();
    for (const { state } of this.hosts.values()) {
      const { heartbeatFrom } = state.directory;
      if (heartbeatFrom !== undefined)
        counts.set(heartbeatFrom, (counts.get(heartbeatFrom) ?? 0) + 1);
    }
    return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  /** Returns the longest time in ms from a confirmation to its being in force, over these hosts. */
  getLongestDelayMs(ids: readonly string[], since = -Infinity): number {
    const delays = this.confirmations
      .filter(({ at }) => at >= since)
      .flatMap(({ at, appliedAt }) => ids.map((id) => (appliedAt.get(id) ?? this.now) - at));
    return Math.max(0, ...delays);
  }

  advance(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const [next, id] = this.findNext();
      if (next > until) break;
      this.now = Math.max(this.now, next);
      const run = id === undefined ? this.pending.popDue(this.now) : () => this.runTimers(id);
      run?.();
    }
    this.now = until;
  }

  /** Runs something after a time, in ms. */
  schedule(ms: number, run: () => void): void {
    this.pending.push(this.now + ms, run);
  }

  /** Returns when the next step is due, and the host whose timer it is, if it is one. */
  private findNext(): [number, string | undefined] {
    let next = this.pending.earliest ?? Infinity;
    let owner: string | undefined;
    for (const [id, { state }] of this.hosts) {
      const due = Math.max(state.timers.earliest ?? Infinity, this.frozenUntil.get(id) ?? 0);
      if (due >= next) continue;
      next = due;
      owner = id;
    }
    return [next, owner];
  }

  private runTimers(id: string): void {
    if (!this.isFrozen(id)) this.run(id, () => undefined);
  }

  private isFrozen(id: string): boolean {
    return (this.frozenUntil.get(id) ?? 0) > this.now;
  }

  /** Runs something on a host, once it runs again if it is frozen, unless its process has ended by then. */
  private run(id: string, run: (host: DirectoryHost) => void, host = this.hosts.get(id)): void {
    if (host === undefined || this.hosts.get(id) !== host) return;
    const frozenMs = (this.frozenUntil.get(id) ?? 0) - this.now;
    if (frozenMs > 0) {
      this.schedule(frozenMs, () => this.run(id, run, host));
      return;
    }
    host.advance(Math.max(0, this.now - host.now));
    run(host);
    this.runEffects(host);
    this.recordApplied(id, host);
    this.onStep(host);
  }

  private recordApplied(id: string, { state }: DirectoryHost): void {
    const known = state.routeIndex.current?.table.version ?? 0;
    for (const { version, appliedAt } of this.confirmations)
      if (version <= known && !appliedAt.has(id)) appliedAt.set(id, this.now);
  }

  private runEffects(host: DirectoryHost): void {
    for (const effect of host.takeAllEffects()) this.runEffect(host, effect);
  }

  private runEffect(host: DirectoryHost, effect: Effect): void {
    const { id } = host.state.host;
    switch (effect.type) {
      case 'sendMessage': {
        const { to, message } = effect;
        const link = this.links.get(newLinkKey(id, to));
        if (link?.isOpen !== true) return;
        const { opened } = link;
        this.schedule(LINK_MS + (this.messageDelays.get(id) ?? 0), () => {
          if (link.isOpen && link.opened === opened)
            this.run(to, (receiver) => receiver.receiveMessage(id, message));
        });
        return;
      }
      case 'readTopic':
        this.call(host, effect, 0, () => this.directory.read(effect.topic));
        return;
      case 'watchTopic':
        this.call(host, effect, effect.waitMs, () =>
          this.directory.watch(effect.topic, effect.after),
        );
        return;
      case 'writeRow': {
        const { content, version } = effect;
        if (this.getReaction(id) !== 'answers') return;
        const answer = this.directory.writeIf(content, version);
        this.schedule(ANSWER_MS, () =>
          this.run(id, () => host.dispatch({ type: 'rowWriteAnswered', content, answer }), host),
        );
        return;
      }
      default:
    }
  }

  private getReaction(id: string): DirectoryReaction {
    return this.reactions.get(id) ?? 'answers';
  }

  /** Answers a call once `poll` returns something or its wait ends. */
  private call(
    host: DirectoryHost,
    { type, topic, call }: { type: 'readTopic' | 'watchTopic'; topic: Topic; call: number },
    waitMs: number,
    poll: () => DirectoryAnswer,
  ): void {
    this.calls += 1;
    const { id } = host.state.host;
    const isRead = type === 'readTopic';
    const deliver = (answer: DirectoryAnswer): void =>
      this.run(
        id,
        () => host.dispatch({ type: 'directoryAnswered', topic, call, isRead, answer }),
        host,
      );
    const waitsUntil = this.now + waitMs;
    let isAnswered = false;
    const tryAnswer = (): void => {
      if (isAnswered || this.getReaction(id) === 'ignores') return;
      const answer = this.getAnswer(id, poll);
      if (!isRead && isEmpty(answer) && this.now < waitsUntil) {
        this.directory.onChange(topic, tryAnswer);
        return;
      }
      isAnswered = true;
      this.schedule(ANSWER_MS / 2, () => {
        if (this.getReaction(id) !== 'ignores') deliver(answer);
      });
    };
    this.schedule(ANSWER_MS / 2, tryAnswer);
    if (waitMs > 0) this.schedule(waitMs + ANSWER_MS / 2, tryAnswer);
    const timeout = { type: 'unavailable' as const, reason: 'timeout' };
    this.schedule(waitMs + DIRECTORY_TIMEOUT_MS, () => deliver(timeout));
  }

  /** Returns what the directory answers a host now, with its clock. */
  private getAnswer(id: string, poll: () => DirectoryAnswer): DirectoryAnswer {
    if (this.getReaction(id) === 'refuses') return { type: 'unavailable', reason: 'refused' };
    const answer = poll();
    return answer.type === 'changes' ? { ...answer, clockMs: this.now, asOfMs: this.now } : answer;
  }

  private openLink(a: string, b: string): void {
    if (!this.hosts.has(a) || !this.hosts.has(b)) return;
    const key = newLinkKey(a, b);
    const link = this.links.get(key) ?? { isOpen: false, opened: 0 };
    if (link.isOpen) return;
    link.isOpen = true;
    link.opened += 1;
    this.links.set(key, link);
    this.run(a, (host) => host.dispatch({ type: 'linkOpened', host: b }));
    this.run(b, (host) => host.dispatch({ type: 'linkOpened', host: a }));
  }

  private closeLink(a: string, b: string): void {
    const link = this.links.get(newLinkKey(a, b));
    if (link?.isOpen !== true) return;
    link.isOpen = false;
    this.run(a, (host) => host.dispatch({ type: 'linkClosed', host: b, reason: 'reset' }));
    this.run(b, (host) => host.dispatch({ type: 'linkClosed', host: a, reason: 'reset' }));
  }
}

function isEmpty(answer: DirectoryAnswer): boolean {
  return answer.type === 'changes' && answer.changes.length === 0;
}

function newLinkKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
