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

export interface Node {
  readonly id: string;
  readonly zone: string;
  state: State;
  incarnation: number;
  /** Difference of the host's monotonic clock from the simulated time, in ms. */
  readonly offset: number;
  /** Speed of the host's clock. */
  readonly rate: number;
  isRunning: boolean;
  /** Simulated time until which the process is paused. */
  pausedUntil: number;
  isTableCut: boolean;
  waiting: Event[];
}

export interface Faults {
  /** Chance that a message is lost, doubled, or arrives late. */
  loss: number;
  duplicate: number;
  late: number;
  /** Chance that a table call fails, takes effect without an answer, or is slow. */
  tableFailure: number;
  lostAnswer: number;
  slowTable: number;
}

export const NO_FAULTS: Faults = {
  loss: 0,
  duplicate: 0,
  late: 0,
  tableFailure: 0,
  lostAnswer: 0,
  slowTable: 0,
};

/** Several hosts' reducers on one simulated time, with a table, links and engines that answer. */
export class Cluster {
  now = 1_000_000;
  readonly table = MemoryTable.create();
  readonly nodes = new Map<string, Node>();
  /** Directed pairs `from>to` that carry nothing. */
  readonly cuts = new Set<string>();
  faults: Faults = NO_FAULTS;
  /** Simulated ms that each call of the table takes. */
  tableMs = 4;
  /** Returns the simulated ms that a message between two hosts takes. */
  getLinkMs: (from: string, to: string) => number = () => 1;
  /** Residents of each engine, as its report shows them. */
  readonly residents = new Map<string, string[]>();
  /** Called after each event of a host. */
  onTurn: (node: Node, effects: Effect[]) => void = () => undefined;
  private readonly queue = MinHeap.create<() => void>();
  private readonly random: Random;

  private constructor(
    seed: number,
    private readonly changes: Change[],
  ) {
    this.random = Random.create(seed);
  }

  static create(seed: number, changes: Change[]): Cluster {
    return new Cluster(seed, changes);
  }

  start(id: string, zone: string): Node {
    const known = this.nodes.get(id);
    const incarnation = (known?.incarnation ?? 0) + 1;
    const offset = known?.offset ?? this.random.getInteger(1_000_000);
    const rate = known?.rate ?? 0.96 + 0.08 * this.random.getFraction();
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
    const node: Node = {
      id,
      zone,
      state,
      incarnation,
      offset,
      rate,
      isRunning: true,
      pausedUntil: 0,
      isTableCut: false,
      waiting: [],
    };
    this.nodes.set(id, node);
    this.feed(node, { type: 'started' });
    return node;
  }

  /** Kills a host without notice. */
  kill(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    node.isRunning = false;
    for (const other of this.nodes.values()) this.unlink(other, id);
  }

  pause(id: string, ms: number): void {
    const node = this.nodes.get(id);
    if (node !== undefined) node.pausedUntil = this.now + ms;
    this.after(ms + 1, () => undefined);
  }

  /** Cuts or restores the links between two hosts in one direction; a one-way cut ends the link. */
  cut(from: string, to: string, isCut: boolean): void {
    const key = `${from}>${to}`;
    if (!isCut) {
      this.cuts.delete(key);
      return;
    }
    this.cuts.add(key);
    const [a, b] = [this.nodes.get(from), this.nodes.get(to)];
    if (a !== undefined) this.after(3_000, () => this.isOpen(from, to) || this.unlink(a, to));
    if (b !== undefined) this.after(3_000, () => this.isOpen(from, to) || this.unlink(b, from));
  }

  feed(node: Node, event: Event): void {
    if (!node.isRunning || this.nodes.get(node.id) !== node) return;
    if (node.pausedUntil > this.now) {
      node.waiting.push(event);
      return;
    }
    const effects = reduce(node.state, event, this.getClock(node));
    this.onTurn(node, effects);
    for (const effect of effects) this.runEffect(node, effect);
  }

  /** Returns what the monotonic clock of a host shows. */
  getClock(node: Node): number {
    return this.now * node.rate + node.offset;
  }

  /** Advances the simulated time by `ms`. */
  run(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const next = Math.min(this.queue.earliest ?? Infinity, this.getNextTimer());
      if (next > until) break;
      this.now = Math.max(this.now, next);
      for (let act = this.queue.popDue(this.now); act !== undefined;) {
        act();
        act = this.queue.popDue(this.now);
      }
      for (const node of this.nodes.values()) this.wake(node);
    }
    this.now = until;
  }

  after(ms: number, action: () => void): void {
    this.queue.push(this.now + ms, action);
  }

  private wake(node: Node): void {
    if (!node.isRunning || node.pausedUntil > this.now) return;
    for (const event of node.waiting.splice(0)) this.feed(node, event);
    if ((node.state.timers.earliest ?? Infinity) <= this.getClock(node)) {
      this.feed(node, { type: 'tick' });
    }
  }

  private getNextTimer(): number {
    let next = Infinity;
    for (const node of this.nodes.values()) {
      if (!node.isRunning) continue;
      // A fraction above the exact time, so that rounding does not leave the timer short of due.
      const due = ((node.state.timers.earliest ?? Infinity) - node.offset) / node.rate + 1e-3;
      next = Math.min(next, Math.max(due, node.pausedUntil, this.now));
    }
    return next;
  }

  private runEffect(node: Node, effect: Effect): void {
    if (effect.type === 'sendMessage') this.send(node, effect.to, effect.message);
    else if (effect.type === 'callTable') this.callTable(node, effect);
    else if (effect.type === 'openLink') this.dial(node, effect.host);
    else if (effect.type === 'closeLink') this.unlink(node, effect.host);
    else if (effect.type === 'readEngine') {
      const report = {
        bootId: 'b',
        running: {},
        waiting: 0,
        slots: 4,
        residents: this.residents.get(effect.engine) ?? [],
      };
      const event: Event = { type: 'engineReported', engine: effect.engine, report };
      this.after(20, () => this.feed(node, event));
    } else if (effect.type === 'stopped') this.kill(node.id);
  }

  private send(node: Node, to: string, message: Message): void {
    if (to === node.id) {
      this.after(0, () => this.feed(node, { type: 'messageReceived', from: to, message }));
      return;
    }
    if (!node.state.membership.linkedHosts.has(to) || this.hits(this.faults.loss)) return;
    const copies = this.hits(this.faults.duplicate) ? 2 : 1;
    // What arrives went through the schema; a message that the schema refuses fails the test.
    const parsed = Message.parse(structuredClone(message));
    for (let copy = 0; copy < copies; copy++) {
      const delay = this.hits(this.faults.late)
        ? this.random.getInteger(3_000)
        : this.getLinkMs(node.id, to);
      this.after(delay, () => {
        const target = this.nodes.get(to);
        if (target === undefined || !this.isOpen(node.id, to)) return;
        this.feed(target, { type: 'messageReceived', from: node.id, message: parsed });
      });
    }
  }

  private callTable(node: Node, effect: Extract<Effect, { type: 'callTable' }>): void {
    const { call, purpose } = effect;
    const sentAt = this.getClock(node);
    const delay = this.hits(this.faults.slowTable)
      ? this.random.getInteger(8_000)
      : this.tableMs / 2;
    const isFailed = node.isTableCut || this.hits(this.faults.tableFailure);
    const answer = (after: number, value: Extract<Event, { type: 'tableAnswered' }>['answer']) =>
      this.after(after, () =>
        this.feed(node, { type: 'tableAnswered', purpose, answer: value, sentAt }),
      );
    if (isFailed) {
      answer(delay, { type: 'unavailable', reason: 'down' });
      return;
    }
    this.after(delay, () => {
      // A write may be cut off on its way, which the caller cannot tell from a lost answer.
      const isLost = this.hits(this.faults.lostAnswer);
      const isApplied = !isLost || this.hits(0.5);
      const value = isApplied ? this.table.apply(call) : undefined;
      if (value === undefined || isLost) answer(500, { type: 'unknown', reason: 'lost' });
      else answer(this.tableMs / 2, structuredClone(value));
    });
  }

  private dial(node: Node, to: string): void {
    const { state } = node;
    if (!state.membership.requestedLinks.has(to) || state.membership.linkedHosts.has(to)) return;
    if (!node.isRunning || this.nodes.get(node.id) !== node) return;
    const target = this.nodes.get(to);
    if (target?.isRunning === true && this.isOpen(node.id, to) && this.isOpen(to, node.id)) {
      this.unlink(target, node.id);
      this.feed(node, { type: 'linkOpened', host: to });
      this.feed(target, { type: 'linkOpened', host: node.id });
    } else {
      this.after(1_000, () => this.dial(node, to));
    }
  }

  private unlink(node: Node, host: string): void {
    if (!node.state.membership.linkedHosts.has(host)) return;
    this.feed(node, { type: 'linkClosed', host, reason: 'ended' });
    this.after(500, () => this.dial(node, host));
  }

  private isOpen(from: string, to: string): boolean {
    return !this.cuts.has(`${from}>${to}`);
  }

  private hits(chance: number): boolean {
    return chance > 0 && this.random.getFraction() < chance;
  }
}

/** Returns changes that create `count` engines in each of `zones`. */
export function newEngines(zones: string[], count: number): Change[] {
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
