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

export interface StepHost {
  id: string;
  state: State;
  isAlive: boolean;
  /** Steps of a paused host wait until it resumes. */
  isPaused: boolean;
}

interface PendingStep {
  host: StepHost;
  /** Whether the step runs in a store or an endpoint, also after the host has ended. */
  outlivesHost: boolean;
  run: () => void;
  /** Steps of the same link run in order, as over TCP. */
  link: string | undefined;
}

export interface StepSimulationOptions {
  seed: number;
  hosts: string[];
  changes: Change[];
  /** Whether each host owns all engines; otherwise ownership follows the zone row of the table. */
  isStandalone?: boolean;
  /** Executes the effects other than messages and calls of the stores. */
  onEffect: (simulation: StepSimulation, host: StepHost, effect: Effect) => void;
}

/** Reducers of several hosts, a table and an object store; the seed decides the order of the steps. */
export class StepSimulation {
  now = 0;
  readonly random: Random;
  readonly table = MemoryTable.create();
  readonly objects = new Map<string, string>();
  readonly hosts = new Map<string, StepHost>();
  /** Probability of a fault in each call of a store or an endpoint. */
  faultRate = 0;
  private steps: PendingStep[] = [];
  private startCount = 0;

  private constructor(private readonly options: StepSimulationOptions) {
    this.random = Random.create(options.seed);
  }

  static create(options: StepSimulationOptions): StepSimulation {
    const simulation = new StepSimulation(options);
    for (const id of options.hosts) simulation.startHost(id);
    return simulation;
  }

  /** Starts a host; ends its previous incarnation if it is running. */
  startHost(id: string): StepHost {
    this.stopHost(id);
    this.startCount += 1;
    const state = State.create({
      host: { id, zone: 'z', region: 'r', address: `${id}:1`, incarnation: this.startCount },
      policy: {
        isStandalone: this.options.isStandalone ?? true,
        stallWeight: 0.5,
        loadsPerS: 1000,
        maxRequestsPerCaller: 500,
        maxRequests: 500,
        lameDuckMs: 3_000,
      },
      // Hosts share one seed, because correctness may not rely on different random numbers.
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
    const host: StepHost = { id, state, isAlive: true, isPaused: false };
    this.hosts.set(id, host);
    for (const other of this.getHosts()) this.connectHost(other);
    this.dispatch(host, { type: 'started' });
    return host;
  }

  stopHost(id: string): void {
    const host = this.hosts.get(id);
    if (host === undefined) return;
    host.isAlive = false;
    this.hosts.delete(id);
    for (const other of this.getHosts()) {
      other.state.membership.hosts.delete(id);
      other.state.membership.linkedHosts.delete(id);
    }
  }

  getHosts(): StepHost[] {
    return [...this.hosts.values()];
  }

  getHost(id: string): StepHost {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`host "${id}" is not running`);
    return host;
  }

  dispatch(host: StepHost, event: Event): void {
    this.runReducer(host, (state) => reduce(state, event, this.now));
  }

  /** Calls a function of the reducer with the state of a host and executes its effects. */
  runReducer(host: StepHost, update: (state: State, now: number) => Effect[]): void {
    if (!host.isAlive) return;
    for (const effect of update(host.state, this.now)) this.executeEffect(host, effect);
  }

  /** Adds a step that dispatches the event that `event` returns, if any. */
  dispatchLater(
    host: StepHost,
    event: () => Event | undefined,
    outlivesHost = false,
    link?: string,
  ): void {
    const run = () => {
      const newEvent = event();
      if (newEvent !== undefined) this.dispatch(host, newEvent);
    };
    this.steps.push({ host, outlivesHost, run, link });
  }

  drawChance(probability: number): boolean {
    return this.random.getFraction() < probability;
  }

  pickRandom<T>(items: readonly T[]): T {
    const item = items[this.random.getInteger(items.length)];
    if (item === undefined) throw new Error('cannot pick a random item of an empty array');
    return item;
  }

  /** Runs one pending step. Advances to the next timer if none is ready, and by chance otherwise. */
  runStep(): void {
    this.steps = this.steps.filter(({ host, outlivesHost }) => outlivesHost || host.isAlive);
    const links = new Set<string>();
    const ready = this.steps.filter(({ host, outlivesHost, link }) => {
      if (link !== undefined && links.has(link)) return false;
      if (link !== undefined) links.add(link);
      return outlivesHost || !host.isPaused;
    });
    if (ready.length === 0 || this.drawChance(0.05)) {
      this.advanceToNextTimer();
      return;
    }
    const chosen = this.pickRandom(ready);
    this.steps = this.steps.filter((step) => step !== chosen);
    chosen.run();
  }

  /** Returns whether a message between hosts is in flight. */
  hasMessages(): boolean {
    return this.steps.some(({ host, link }) => link !== undefined && host.isAlive);
  }

  /** Runs steps without faults until `isDone` holds; throws after `limit` steps. */
  runUntil(isDone: () => boolean, limit = 20_000): void {
    this.faultRate = 0;
    for (const host of this.getHosts()) host.isPaused = false;
    for (let count = 0; count < limit; count++) {
      if (isDone()) return;
      this.runStep();
    }
    throw new Error(`the condition does not hold after ${limit} steps`);
  }

  private advanceToNextTimer(): void {
    const ready = this.getHosts().filter((host) => !host.isPaused);
    const due = ready.map(({ state }) => state.timers.earliest ?? Infinity);
    const next = Math.min(...due);
    if (next === Infinity) return;
    this.now = Math.max(this.now, next);
    for (const host of ready) this.dispatch(host, { type: 'tick' });
  }

  private connectHost(host: StepHost): void {
    for (const other of this.getHosts()) {
      addPeer(host.state, other.state);
      addPeer(other.state, host.state);
    }
  }

  private executeEffect(host: StepHost, effect: Effect): void {
    switch (effect.type) {
      case 'sendMessage': {
        const { message } = effect;
        const to = this.hosts.get(effect.to);
        if (to === undefined) return;
        const event: Event = { type: 'messageReceived', from: host.id, message };
        this.dispatchLater(to, () => event, false, `${host.id}>${to.id}`);
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

  private callTable(host: StepHost, effect: Extract<Effect, { type: 'callTable' }>): void {
    const { call, purpose } = effect;
    const sentAt = this.now;
    const fault = this.drawChance(this.faultRate)
      ? this.pickRandom(['down', 'lostBefore', 'lostAfter', 'late'] as const)
      : 'none';
    const unknown = { type: 'unknown', reason: 'lost' } as const;
    const table = this.table;
    this.dispatchLater(
      host,
      () => {
        const base = { type: 'tableAnswered', purpose, sentAt } as const;
        if (fault === 'down') return { ...base, answer: { type: 'unavailable', reason: 'down' } };
        if (fault === 'none') {
          const answer = table.apply(call);
          // The answer is a step of its own, so that the host may pause or end before it arrives.
          this.dispatchLater(host, () => ({ ...base, answer }));
          return undefined;
        }
        if (fault === 'lostAfter') table.apply(call);
        if (fault === 'late') this.addStoreStep(host, () => void table.apply(call));
        this.dispatchLater(host, () => ({ ...base, answer: unknown }));
        return undefined;
      },
      true,
    );
  }

  private callObjects(host: StepHost, effect: Extract<Effect, { type: 'callObjects' }>): void {
    const { call, purpose } = effect;
    const isLost = this.drawChance(this.faultRate);
    const isDown = this.drawChance(this.faultRate);
    this.addStoreStep(host, () => {
      const appliedAnswer = isDown ? undefined : this.applyObjectCall(call);
      const answer: ObjectAnswer =
        appliedAnswer === undefined
          ? { type: 'unavailable', reason: 'down' }
          : isLost
            ? { type: 'unknown', reason: 'lost' }
            : appliedAnswer;
      this.dispatchLater(host, () => ({ type: 'objectAnswered', purpose, answer }));
    });
  }

  private addStoreStep(host: StepHost, run: () => void): void {
    this.steps.push({ host, outlivesHost: true, run, link: undefined });
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
  const entry = { revision: 1, state: 'live', protocol: 1, configurationRevision: 1 } as const;
  membership.hosts.set(id, { host: id, ...fields, ...entry });
  membership.linkedHosts.add(id);
}
