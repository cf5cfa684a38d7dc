import { MinHeap } from '../../src/base/minHeap.ts';
import { Random } from '../../src/base/random.ts';
import { applyRevision } from '../../src/configuration/apply.ts';
import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { Message } from '../../src/core/messages.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import { MemoryTable } from './memoryTable.ts';

export interface ClusterNode {
  readonly id: string;
  readonly zone: string;
  state: State;
  incarnation: number;
  /** Offset of the host's monotonic clock from the simulated time in ms. */
  readonly clockOffsetMs: number;
  /** Rate of the host's monotonic clock relative to the simulated time. */
  readonly clockRate: number;
  isRunning: boolean;
  /** Simulated time until which the process is paused. */
  pausedUntil: number;
  isTableUnreachable: boolean;
  pausedEvents: Event[];
}

export interface FaultRates {
  /** Probabilities that a message is lost, duplicated or delayed by up to 3 s. */
  loss: number;
  duplicate: number;
  late: number;
  /** Probabilities that a table call is unavailable, loses its answer or is delayed by up to 8 s. */
  tableFailure: number;
  lostAnswer: number;
  slowTable: number;
}

export const NO_FAULTS: FaultRates = {
  loss: 0,
  duplicate: 0,
  late: 0,
  tableFailure: 0,
  lostAnswer: 0,
  slowTable: 0,
};

/** Reducers of several hosts on one simulated time, with a table, links and engines that answer reads. */
export class SimulatedCluster {
  now = 1_000_000;
  readonly table = MemoryTable.create();
  readonly nodes = new Map<string, ClusterNode>();
  /** Pairs `from>to` of hosts between which no message arrives. */
  readonly blockedLinks = new Set<string>();
  faults: FaultRates = NO_FAULTS;
  /** Round-trip time of a table call in simulated ms. */
  tableMs = 4;
  /** Returns the latency of a message between two hosts in simulated ms. */
  getLinkMs: (from: string, to: string) => number = () => 1;
  /** Residents that the report of each engine contains, by engine id. */
  readonly residents = new Map<string, string[]>();
  /** Called after each event that a host reduced, with its effects. */
  afterEvent: (node: ClusterNode, effects: Effect[]) => void = () => undefined;
  private readonly queue = MinHeap.create<() => void>();
  private readonly random: Random;

  private constructor(
    seed: number,
    private readonly changes: Change[],
  ) {
    this.random = Random.create(seed);
  }

  static create(seed: number, changes: Change[]): SimulatedCluster {
    return new SimulatedCluster(seed, changes);
  }

  startNode(id: string, zone: string): ClusterNode {
    const previous = this.nodes.get(id);
    const incarnation = (previous?.incarnation ?? 0) + 1;
    const clockOffsetMs = previous?.clockOffsetMs ?? this.random.getInteger(1_000_000);
    const clockRate = previous?.clockRate ?? 0.96 + 0.08 * this.random.getFraction();
    const state = State.create({
      host: { id, zone, region: 'r', address: `${id}:1`, incarnation },
      policy: {
        stallWeight: 0.5,
        loadsPerS: 100,
        maxRequestsPerCaller: 10,
        maxRequests: 10,
        lameDuckMs: 0,
      },
      randomSeed: this.random.getInteger(1_000_000),
      seeds: [...this.nodes.values()].map((node) => ({ host: node.id, address: `${node.id}:1` })),
    });
    applyRevision(state.configuration, {
      revision: 1,
      operator: 'o',
      plan: 'p',
      confirmedAtUnixMs: 0,
      changes: this.changes,
    });
    const node: ClusterNode = {
      id,
      zone,
      state,
      incarnation,
      clockOffsetMs,
      clockRate,
      isRunning: true,
      pausedUntil: 0,
      isTableUnreachable: false,
      pausedEvents: [],
    };
    this.nodes.set(id, node);
    this.dispatch(node, { type: 'started' });
    return node;
  }

  /** Kills a host; its peers see their links close. */
  killNode(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    node.isRunning = false;
    for (const other of this.nodes.values()) this.closeLink(other, id);
  }

  pauseNode(id: string, ms: number): void {
    const node = this.nodes.get(id);
    if (node !== undefined) node.pausedUntil = this.now + ms;
    // Makes `advance` stop after the pause, where it dispatches the events that arrived meanwhile.
    this.schedule(ms + 1, () => undefined);
  }

  /** Blocks or unblocks messages in one direction; a link that is blocked for 3 s closes. */
  setLinkBlocked(from: string, to: string, isBlocked: boolean): void {
    const key = `${from}>${to}`;
    if (!isBlocked) {
      this.blockedLinks.delete(key);
      return;
    }
    this.blockedLinks.add(key);
    const [a, b] = [this.nodes.get(from), this.nodes.get(to)];
    if (a !== undefined) this.schedule(3_000, () => this.isOpen(from, to) || this.closeLink(a, to));
    if (b !== undefined)
      this.schedule(3_000, () => this.isOpen(from, to) || this.closeLink(b, from));
  }

  dispatch(node: ClusterNode, event: Event): void {
    if (!node.isRunning || this.nodes.get(node.id) !== node) return;
    if (node.pausedUntil > this.now) {
      node.pausedEvents.push(event);
      return;
    }
    const effects = reduce(node.state, event, this.getMonotonicMs(node));
    this.afterEvent(node, effects);
    for (const effect of effects) this.runEffect(node, effect);
  }

  /** Returns the monotonic time of a host. */
  getMonotonicMs(node: ClusterNode): number {
    return this.now * node.clockRate + node.clockOffsetMs;
  }

  /** Advances the simulated time by `ms`. */
  advance(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const next = Math.min(this.queue.earliest ?? Infinity, this.getNextTimer());
      if (next > until) break;
      this.now = Math.max(this.now, next);
      for (let action = this.queue.popDue(this.now); action !== undefined;) {
        action();
        action = this.queue.popDue(this.now);
      }
      for (const node of this.nodes.values()) this.resumeNode(node);
    }
    this.now = until;
  }

  schedule(ms: number, action: () => void): void {
    this.queue.push(this.now + ms, action);
  }

  private resumeNode(node: ClusterNode): void {
    if (!node.isRunning || node.pausedUntil > this.now) return;
    for (const event of node.pausedEvents.splice(0)) this.dispatch(node, event);
    if ((node.state.timers.earliest ?? Infinity) <= this.getMonotonicMs(node)) {
      this.dispatch(node, { type: 'tick' });
    }
  }

  private getNextTimer(): number {
    let next = Infinity;
    for (const node of this.nodes.values()) {
      if (!node.isRunning) continue;
      // A small margin, because a rounded time may be just before the timer is due.
      const due =
        ((node.state.timers.earliest ?? Infinity) - node.clockOffsetMs) / node.clockRate + 1e-3;
      next = Math.min(next, Math.max(due, node.pausedUntil, this.now));
    }
    return next;
  }

  private runEffect(node: ClusterNode, effect: Effect): void {
    if (effect.type === 'sendMessage') this.sendMessage(node, effect.to, effect.message);
    else if (effect.type === 'callTable') this.callTable(node, effect);
    else if (effect.type === 'openLink') this.openLink(node, effect.host);
    else if (effect.type === 'closeLink') this.closeLink(node, effect.host);
    else if (effect.type === 'readEngine') {
      const report = {
        bootId: 'b',
        running: {},
        waiting: 0,
        slots: 4,
        residents: this.residents.get(effect.engine) ?? [],
      };
      const event: Event = { type: 'engineReported', engine: effect.engine, report };
      this.schedule(20, () => this.dispatch(node, event));
    } else if (effect.type === 'stopped') this.killNode(node.id);
  }

  private sendMessage(node: ClusterNode, to: string, message: Message): void {
    if (to === node.id) {
      this.schedule(0, () => this.dispatch(node, { type: 'messageReceived', from: to, message }));
      return;
    }
    if (!node.state.membership.linkedHosts.has(to) || this.drawChance(this.faults.loss)) return;
    const copies = this.drawChance(this.faults.duplicate) ? 2 : 1;
    // Parsing fails the test if a host sends a message that the schema refuses.
    const parsed = Message.parse(structuredClone(message));
    for (let copy = 0; copy < copies; copy++) {
      const delay = this.drawChance(this.faults.late)
        ? this.random.getInteger(3_000)
        : this.getLinkMs(node.id, to);
      this.schedule(delay, () => {
        const target = this.nodes.get(to);
        if (target === undefined || !this.isOpen(node.id, to)) return;
        this.dispatch(target, { type: 'messageReceived', from: node.id, message: parsed });
      });
    }
  }

  private callTable(node: ClusterNode, effect: Extract<Effect, { type: 'callTable' }>): void {
    const { call, purpose } = effect;
    const sentAt = this.getMonotonicMs(node);
    const delay = this.drawChance(this.faults.slowTable)
      ? this.random.getInteger(8_000)
      : this.tableMs / 2;
    const isUnavailable = node.isTableUnreachable || this.drawChance(this.faults.tableFailure);
    const answer = (after: number, value: Extract<Event, { type: 'tableAnswered' }>['answer']) =>
      this.schedule(after, () =>
        this.dispatch(node, { type: 'tableAnswered', purpose, answer: value, sentAt }),
      );
    if (isUnavailable) {
      answer(delay, { type: 'unavailable', reason: 'down' });
      return;
    }
    this.schedule(delay, () => {
      // The caller cannot tell a lost call from a lost answer, so half of the lost ones take effect.
      const isLost = this.drawChance(this.faults.lostAnswer);
      const isApplied = !isLost || this.drawChance(0.5);
      const value = isApplied ? this.table.apply(call) : undefined;
      if (value === undefined || isLost) answer(500, { type: 'unknown', reason: 'lost' });
      else answer(this.tableMs / 2, structuredClone(value));
    });
  }

  private openLink(node: ClusterNode, to: string): void {
    const { state } = node;
    if (!state.membership.requestedLinks.has(to) || state.membership.linkedHosts.has(to)) return;
    if (!node.isRunning || this.nodes.get(node.id) !== node) return;
    const target = this.nodes.get(to);
    if (target?.isRunning === true && this.isOpen(node.id, to) && this.isOpen(to, node.id)) {
      this.closeLink(target, node.id);
      this.dispatch(node, { type: 'linkOpened', host: to });
      this.dispatch(target, { type: 'linkOpened', host: node.id });
    } else {
      this.schedule(1_000, () => this.openLink(node, to));
    }
  }

  private closeLink(node: ClusterNode, host: string): void {
    if (!node.state.membership.linkedHosts.has(host)) return;
    this.dispatch(node, { type: 'linkClosed', host, reason: 'ended' });
    this.schedule(500, () => this.openLink(node, host));
  }

  private isOpen(from: string, to: string): boolean {
    return !this.blockedLinks.has(`${from}>${to}`);
  }

  private drawChance(probability: number): boolean {
    return probability > 0 && this.random.getFraction() < probability;
  }
}

/** Returns changes that create `count` engines in each of `zones`. */
export function newZoneEngineChanges(zones: string[], count: number): Change[] {
  return zones.flatMap((zone) =>
    Array.from({ length: count }, (_, index) => ({
      type: 'putEngine' as const,
      engine: {
        id: `engine-${zone}-${index}`,
        address: '127.0.0.1:1',
        zone,
        pool: 'p',
        model: 'm',
        slots: 4,
        batch: 8,
        checksFencing: false,
      },
    })),
  );
}
