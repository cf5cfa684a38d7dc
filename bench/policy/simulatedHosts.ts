import { applyRevision } from '../../src/configuration/apply.ts';
import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import { startMembership } from '../../src/membership/handlers.ts';
import { getFirmAdapters } from './arrivals.ts';
import { BATCH, REPORT_LAG_MS, SAME_ZONE_LATENCY_MS } from './constants.ts';
import type { SimulatedEngine, RunEnd } from './simulatedEngine.ts';
import { setZoneRows } from './ownership.ts';
import type { Policy, Simulation } from './simulation.ts';
import type { SimulatedRequest, Scenario } from './types.ts';

type AttemptOutcome = Extract<Event, { type: 'attemptEnded' }>['outcome'];

const MODEL = 'base';

interface SimulatedHost {
  readonly id: string;
  readonly zone: string;
  readonly state: State;
  /** Time of the earliest scheduled tick; Infinity when none is scheduled. */
  tickAt: number;
}

/** The system under test: the real reducers of all entry hosts, connected by simulated messages. */
export class SimulatedHosts implements Policy {
  readonly hosts: SimulatedHost[];
  private readonly requests = new Map<string, SimulatedRequest>();
  private readonly engines: Map<string, SimulatedEngine>;
  private readonly byId: Map<string, SimulatedHost>;

  private constructor(private readonly simulation: Simulation) {
    const { scenario } = simulation;
    this.hosts = scenario.deployment.hosts.map((host, index) => ({
      ...host,
      state: newState(simulation, index),
      tickAt: Infinity,
    }));
    this.byId = new Map(this.hosts.map((host) => [host.id, host]));
    this.engines = new Map(simulation.engines.map((engine) => [engine.id, engine]));
  }

  static create(simulation: Simulation): SimulatedHosts {
    return new SimulatedHosts(simulation);
  }

  start(): void {
    for (const host of this.hosts) {
      for (const other of this.hosts) {
        if (other !== host) this.handleEvent(host, { type: 'linkOpened', host: other.id });
      }
      this.runEffects(host, startMembership(host.state, 0));
      this.runEffects(host, setZoneRows(host.state, this.hosts));
    }
  }

  arrive(request: SimulatedRequest): void {
    const host = this.hosts[request.host];
    if (host === undefined) return;
    this.requests.set(request.id, request);
    const { now } = this.simulation.clock;
    const [adapter = ''] = request.model.split('@');
    this.handleEvent(host, {
      type: 'requestArrived',
      request: {
        id: request.id,
        firm: request.firm,
        caller: `${request.firm}-caller`,
        kind: request.kind,
        adapter,
        version: undefined,
        // A retried draft gets a new time limit.
        deadline: Math.max(request.deadlineAt, request.kind === 'draft' ? now + 60_000 : 0),
        fingerprint: request.id,
        maxTokens: request.outputTokens,
        draft: request.kind === 'draft' ? request.id : undefined,
      },
    });
  }

  setPartitionedZone(zone: string | undefined): void {
    for (const host of this.hosts) {
      for (const other of this.hosts) {
        if (host === other || host.zone === other.zone) continue;
        if (zone === undefined) this.handleEvent(host, { type: 'linkOpened', host: other.id });
        else if (host.zone === zone || other.zone === zone) {
          this.handleEvent(host, { type: 'linkClosed', host: other.id, reason: 'silent' });
        }
      }
    }
  }

  private handleEvent(host: SimulatedHost, event: Event): void {
    this.runEffects(host, reduce(host.state, event, this.simulation.clock.now));
  }

  private runEffects(host: SimulatedHost, effects: Effect[]): void {
    for (const effect of effects) this.runEffect(host, effect);
    const earliest = host.state.timers.earliest ?? Infinity;
    if (earliest >= host.tickAt) return;
    host.tickAt = earliest;
    this.simulation.clock.at(earliest, () => {
      if (host.tickAt === earliest) host.tickAt = Infinity;
      this.handleEvent(host, { type: 'tick' });
    });
  }

  private runEffect(host: SimulatedHost, effect: Effect): void {
    switch (effect.type) {
      case 'sendMessage': {
        const target = this.byId.get(effect.to);
        if (target === undefined) return;
        this.deliver(host.zone, target.zone, target === host ? 0 : undefined, () => {
          this.handleEvent(target, {
            type: 'messageReceived',
            from: host.id,
            message: effect.message,
          });
        });
        return;
      }
      case 'startAttempt': {
        this.startAttempt(host, effect.spec);
        return;
      }
      case 'cancelAttempt':
        for (const engine of this.engines.values()) engine.cancel(effect.id);
        return;
      case 'orderEngine': {
        this.orderEngine(host, effect);
        return;
      }
      case 'readEngine': {
        this.readEngine(host, effect.engine);
        return;
      }
      case 'finishRequest': {
        this.withRequest(effect.id, (request) => this.simulation.complete(request));
        return;
      }
      case 'failRequest': {
        this.withRequest(effect.id, (request) =>
          this.simulation.fail(request, () => this.arrive(request)),
        );
        return;
      }
      default:
    }
  }

  private withRequest(id: string, use: (request: SimulatedRequest) => void): void {
    const request = this.requests.get(id);
    if (request !== undefined) use(request);
  }

  /** Runs `onArrived` after the latency between two zones; returns false when they are partitioned. */
  private deliver(
    from: string,
    to: string,
    delayMs: number | undefined,
    onArrived: () => void,
  ): boolean {
    if (!this.simulation.isConnected(from, to)) return false;
    const { zoneLatencyMs } = this.simulation.scenario.deployment;
    const latency = from === to ? SAME_ZONE_LATENCY_MS : zoneLatencyMs;
    this.simulation.clock.after(delayMs ?? latency, onArrived);
    return true;
  }

  private startAttempt(
    host: SimulatedHost,
    {
      id,
      attempt,
      engine: name,
      model,
    }: { id: string; attempt: string; engine: string; model: string },
  ): void {
    const engine = this.engines.get(name);
    const request = this.requests.get(id);
    if (engine === undefined || request === undefined) return;
    const endAttempt = (outcome: AttemptOutcome) => {
      this.handleEvent(host, { type: 'attemptEnded', id, attempt, outcome });
    };
    const isSent = this.deliver(host.zone, engine.zone, undefined, () => {
      engine.submit(request, (runEnd) => {
        const outcome = getOutcome(runEnd, model);
        const isResponseSent = this.deliver(engine.zone, host.zone, undefined, () =>
          endAttempt(outcome),
        );
        if (!isResponseSent)
          this.simulation.clock.after(2_000, () =>
            endAttempt({ type: 'broken', reason: 'partition' }),
          );
      });
    });
    if (!isSent) this.simulation.clock.after(1_000, () => endAttempt({ type: 'unreachable' }));
  }

  private orderEngine(host: SimulatedHost, effect: Extract<Effect, { type: 'orderEngine' }>): void {
    const engine = this.engines.get(effect.engine);
    const { order, epoch } = effect;
    if (engine === undefined) return;
    const sendAnswer = (isDone: boolean) => {
      this.deliver(engine.zone, host.zone, undefined, () => {
        this.handleEvent(host, {
          type: 'orderAnswered',
          engine: effect.engine,
          epoch,
          order,
          answer: isDone ? { type: 'done' } : { type: 'failed', reason: 'load failed' },
        });
      });
    };
    const isSent = this.deliver(host.zone, engine.zone, undefined, () => {
      if (order.type === 'load') engine.loadAdapter(order.model, sendAnswer);
      if (order.type === 'unload') engine.unloadAdapter(order.model, () => sendAnswer(true));
    });
    if (isSent) return;
    this.simulation.clock.after(2_000, () => {
      this.handleEvent(host, {
        type: 'orderAnswered',
        engine: effect.engine,
        epoch,
        order,
        answer: { type: 'unknown', reason: 'no answer' },
      });
    });
  }

  private readEngine(host: SimulatedHost, name: string): void {
    const engine = this.engines.get(name);
    if (engine === undefined) return;
    if (engine.isDown || !this.simulation.isConnected(host.zone, engine.zone)) {
      this.simulation.clock.after(1, () => {
        this.handleEvent(host, { type: 'engineUnreachable', engine: name, refused: engine.isDown });
      });
      return;
    }
    const report = engine.getReport();
    this.simulation.clock.after(REPORT_LAG_MS, () => {
      this.handleEvent(host, { type: 'engineReported', engine: name, report });
    });
  }
}

function getOutcome(end: RunEnd, model: string): AttemptOutcome {
  const [adapter = '', version = ''] = model.split('@');
  if (end === 'completed') return { type: 'completed', adapter, version, tokens: 0 };
  if (end === 'broken') return { type: 'broken', reason: 'engine restarted' };
  return { type: end };
}

function newState({ scenario, parameters }: Simulation, index: number): State {
  const { deployment } = scenario;
  const host = deployment.hosts[index];
  const state = State.create({
    host: {
      id: host?.id ?? '',
      zone: host?.zone ?? '',
      region: 'region',
      address: '127.0.0.1:1',
      incarnation: 1,
    },
    policy: {
      stallWeight: parameters.stallWeight ?? deployment.stallWeight,
      loadsPerS: deployment.loadsPerS,
      maxRequestsPerCaller: 100_000,
      maxRequests: 100_000,
      lameDuckMs: 0,
    },
    randomSeed: parameters.seed * 1_000 + index,
  });
  applyRevision(state.configuration, {
    revision: 1,
    changes: getChanges(scenario, parameters.slots),
    operator: 'bench',
    confirmedAtUnixMs: 0,
    plan: 'bench',
  });
  return state;
}

function getChanges(scenario: Scenario, slots: number): Change[] {
  const { deployment } = scenario;
  const engines = deployment.engines.map(({ id, zone }, index): Change => ({
    type: 'putEngine',
    engine: {
      id,
      address: `127.0.0.1:${9000 + index}`,
      zone,
      pool: MODEL,
      model: MODEL,
      slots,
      batch: BATCH,
      checksFencing: true,
    },
  }));
  const shares = Object.entries(deployment.shares).map(([firm, share]): Change => ({
    type: 'putShare',
    firm,
    share,
  }));
  const adapters = Object.keys(deployment.shares).flatMap((firm) =>
    getFirmAdapters(scenario, firm).map((name): Change => ({
      type: 'putAdapter',
      adapter: { name, firm, model: MODEL, versions: { v1: { source: name } }, inForce: 'v1' },
    })),
  );
  return [...engines, ...shares, ...adapters];
}
