import { Random } from '../../src/base/random.ts';
import { applyRevision } from '../../src/configuration/apply.ts';
import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import type { ObjectAnswer, ObjectCall } from '../../src/core/store.ts';
import { refreshOwnedEngines } from '../../src/grants/owned.ts';
import { MemoryTable } from './memoryTable.ts';

export interface Host {
  id: string;
  state: State;
  isAlive: boolean;
  /** Events are held back while the host is paused. */
  isPaused: boolean;
}

interface Step {
  host: Host;
  /** Whether the step belongs to the store or an endpoint and outlives the host. */
  isOutside: boolean;
  run: () => void;
  /** Steps of one link run in order, as over TCP. */
  link: string | undefined;
}

export interface SimulationOptions {
  seed: number;
  hosts: string[];
  changes: Change[];
  /** Whether each host owns all engines; otherwise the hosts agree on owners in the table. */
  isAlone?: boolean;
  /** Handles the effects that the simulation does not handle itself. */
  onEffect: (simulation: Simulation, host: Host, effect: Effect) => void;
}

/** Several hosts, a table and an object store; steps run in a random order that the seed decides. */
export class Simulation {
  now = 0;
  readonly random: Random;
  readonly table = MemoryTable.create();
  readonly objects = new Map<string, string>();
  readonly hosts = new Map<string, Host>();
  /** Probability of a fault in each call of a store or an endpoint. */
  faultRate = 0;
  private steps: Step[] = [];
  private started = 0;

  private constructor(private readonly options: SimulationOptions) {
    this.random = Random.create(options.seed);
  }

  static create(options: SimulationOptions): Simulation {
    const simulation = new Simulation(options);
    for (const id of options.hosts) simulation.startHost(id);
    return simulation;
  }

  /** Starts a host; ends the earlier incarnation when there is one. */
  startHost(id: string): Host {
    this.stopHost(id);
    this.started += 1;
    const state = State.create({
      host: { id, zone: 'z', region: 'r', address: `${id}:1`, incarnation: this.started },
      policy: {
        isStandalone: this.options.isAlone ?? true,
        stallWeight: 0.5,
        loadsPerS: 1000,
        maxRequestsPerCaller: 500,
        maxRequests: 500,
        lameDuckMs: 3_000,
      },
      // The same seed everywhere: nothing may rely on different random numbers.
      randomSeed: 1,
    });
    const { changes } = this.options;
    applyRevision(state.configuration, {
      revision: 1,
      operator: 'o',
      plan: 'p',
      confirmedAtUnixMs: 0,
      changes,
    });
    refreshOwnedEngines(state, this.now);
    const host: Host = { id, state, isAlive: true, isPaused: false };
    this.hosts.set(id, host);
    for (const other of this.alive()) this.introduce(other);
    this.feed(host, { type: 'started' });
    return host;
  }

  stopHost(id: string): void {
    const host = this.hosts.get(id);
    if (host === undefined) return;
    host.isAlive = false;
    this.hosts.delete(id);
    for (const other of this.alive()) {
      other.state.membership.hosts.delete(id);
      other.state.membership.linkedHosts.delete(id);
    }
  }

  alive(): Host[] {
    return [...this.hosts.values()];
  }

  get(id: string): Host {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`host "${id}" is not running`);
    return host;
  }

  feed(host: Host, event: Event): void {
    this.act(host, (state) => reduce(state, event, this.now));
  }

  /** Calls a function of the reducer on a host and handles its effects. */
  act(host: Host, decide: (state: State, now: number) => Effect[]): void {
    if (!host.isAlive) return;
    for (const effect of decide(host.state, this.now)) this.handle(host, effect);
  }

  /** Adds a step that feeds `event` to `host` later. */
  feedLater(host: Host, event: () => Event | undefined, isOutside = false, link?: string): void {
    const run = () => {
      const made = event();
      if (made !== undefined) this.feed(host, made);
    };
    this.steps.push({ host, isOutside, run, link });
  }

  chance(probability: number): boolean {
    return this.random.getFraction() < probability;
  }

  choose<T>(items: readonly T[]): T {
    const item = items[this.random.getInteger(items.length)];
    if (item === undefined) throw new Error('there is nothing to choose from');
    return item;
  }

  /** Runs one pending step or, when there is none or by chance, moves on to the next timer. */
  step(): void {
    this.steps = this.steps.filter(({ host, isOutside }) => isOutside || host.isAlive);
    const links = new Set<string>();
    const ready = this.steps.filter(({ host, isOutside, link }) => {
      if (link !== undefined && links.has(link)) return false;
      if (link !== undefined) links.add(link);
      return isOutside || !host.isPaused;
    });
    if (ready.length === 0 || this.chance(0.05)) {
      this.advance();
      return;
    }
    const chosen = this.choose(ready);
    this.steps = this.steps.filter((step) => step !== chosen);
    chosen.run();
  }

  /** Whether a message between hosts is still on its way. */
  hasMessages(): boolean {
    return this.steps.some(({ host, link }) => link !== undefined && host.isAlive);
  }

  /** Runs steps without faults until `isDone` holds; throws after `limit` steps. */
  settle(isDone: () => boolean, limit = 20_000): void {
    this.faultRate = 0;
    for (const host of this.alive()) host.isPaused = false;
    for (let count = 0; count < limit; count++) {
      if (isDone()) return;
      this.step();
    }
    throw new Error(`not settled after ${limit} steps`);
  }

  private advance(): void {
    const ready = this.alive().filter((host) => !host.isPaused);
    const due = ready.map(({ state }) => state.timers.earliest ?? Infinity);
    const next = Math.min(...due);
    if (next === Infinity) return;
    this.now = Math.max(this.now, next);
    for (const host of ready) this.feed(host, { type: 'tick' });
  }

  private introduce(host: Host): void {
    for (const other of this.alive()) {
      addPeer(host.state, other.state);
      addPeer(other.state, host.state);
    }
  }

  private handle(host: Host, effect: Effect): void {
    switch (effect.type) {
      case 'sendMessage': {
        const { message } = effect;
        const to = this.hosts.get(effect.to);
        if (to === undefined) return;
        const event: Event = { type: 'messageReceived', from: host.id, message };
        this.feedLater(to, () => event, false, `${host.id}>${to.id}`);
        return;
      }
      case 'callTable': {
        this.callTable(host, effect);
        return;
      }
      case 'callObjects': {
        this.callObjects(host, effect);
        return;
      }
      default:
        this.options.onEffect(this, host, effect);
    }
  }

  private callTable(host: Host, effect: Extract<Effect, { type: 'callTable' }>): void {
    const { call, purpose } = effect;
    const sentAt = this.now;
    const fault = this.chance(this.faultRate)
      ? this.choose(['down', 'lostBefore', 'lostAfter', 'late'] as const)
      : 'none';
    const unknown = { type: 'unknown', reason: 'lost' } as const;
    const table = this.table;
    this.feedLater(
      host,
      () => {
        const base = { type: 'tableAnswered', purpose, sentAt } as const;
        if (fault === 'down') return { ...base, answer: { type: 'unavailable', reason: 'down' } };
        if (fault === 'none') {
          const answer = table.apply(call);
          // The answer travels on its own, so a host may pause or end between effect and answer.
          this.feedLater(host, () => ({ ...base, answer }));
          return undefined;
        }
        if (fault === 'lostAfter') table.apply(call);
        if (fault === 'late') this.addOutside(host, () => void table.apply(call));
        this.feedLater(host, () => ({ ...base, answer: unknown }));
        return undefined;
      },
      true,
    );
  }

  private callObjects(host: Host, effect: Extract<Effect, { type: 'callObjects' }>): void {
    const { call, purpose } = effect;
    const isLost = this.chance(this.faultRate);
    const isDown = this.chance(this.faultRate);
    this.addOutside(host, () => {
      const real = isDown ? undefined : this.applyObjectCall(call);
      const answer: ObjectAnswer =
        real === undefined
          ? { type: 'unavailable', reason: 'down' }
          : isLost
            ? { type: 'unknown', reason: 'lost' }
            : real;
      this.feedLater(host, () => ({ type: 'objectAnswered', purpose, answer }));
    });
  }

  private addOutside(host: Host, run: () => void): void {
    this.steps.push({ host, isOutside: true, run, link: undefined });
  }

  private applyObjectCall(call: ObjectCall): ObjectAnswer {
    if (call.type === 'put') this.objects.set(call.key, call.body);
    const body = this.objects.get(call.key);
    if (call.type === 'delete') this.objects.delete(call.key);
    return body === undefined ? { type: 'missing' } : { type: 'ok', body };
  }
}

function addPeer({ membership }: State, peer: State): void {
  const { id, ...fields } = peer.host;
  const known = { revision: 1, state: 'live', protocol: 1, configurationRevision: 1 } as const;
  membership.hosts.set(id, { host: id, ...fields, ...known });
  membership.linkedHosts.add(id);
}
