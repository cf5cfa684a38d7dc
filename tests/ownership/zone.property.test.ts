import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LEASE_TTL_MS, MAX_ORDER_MS } from '../../src/ownership/constants.ts';
import { hasLeftOwnership, leaveOwnership } from '../../src/ownership/leave.ts';
import { canOrderDestructively, getActingOwner } from '../../src/ownership/owner.ts';
import { ZoneRow } from '../../src/ownership/types.ts';
import {
  SimulatedCluster,
  type ClusterNode,
  NO_FAULTS,
  newZoneEngineChanges,
} from '../helpers/simulatedCluster.ts';

const ENGINES = 5;
const engines = newZoneEngineChanges(['z'], ENGINES).flatMap((change) =>
  change.type === 'putEngine' ? [change.engine.id] : [],
);
const ALL_FAULTS = {
  loss: 0.2,
  duplicate: 0.1,
  late: 0.2,
  tableFailure: 0.2,
  lostAnswer: 0.2,
  slowTable: 0.3,
};

const SLOW = { ...NO_FAULTS, slowTable: 0.1 };

type Step =
  | { type: 'wait' | 'faults' | 'outage'; ms: number }
  | { type: 'kill' | 'restart' | 'leave'; host: number }
  | { type: 'pause' | 'cutTable' | 'isolate'; host: number; ms: number }
  | { type: 'cutLink'; host: number; other: number; ms: number };

/** Runs random steps against the hosts of a zone and checks the invariants after each loop turn. */
class Trial {
  readonly cluster: SimulatedCluster;
  private readonly epochs = new Map<string, number>();
  private tableEpoch = 0;
  /** Last host that could give destructive orders, and the time of the last check, by engine. */
  private readonly last = new Map<string, { key: string; at: number }>();

  private constructor(seed: number, hosts: number) {
    this.cluster = SimulatedCluster.create(seed, newZoneEngineChanges(['z'], ENGINES));
    this.cluster.afterEvent = (node) => this.check(node);
    this.cluster.faults = SLOW;
    for (let host = 0; host < hosts; host++) this.cluster.startNode(`h${host}`, 'z');
  }

  static create(seed: number, hosts: number): Trial {
    return new Trial(seed, hosts);
  }

  runStep(step: Step): void {
    const { cluster } = this;
    const id = 'host' in step ? `h${step.host % cluster.nodes.size}` : '';
    const node = cluster.nodes.get(id);
    if (step.type === 'wait') cluster.advance(step.ms);
    else if (step.type === 'faults') {
      cluster.faults = ALL_FAULTS;
      cluster.advance(step.ms);
      cluster.faults = SLOW;
    } else if (step.type === 'outage') {
      this.cutTables([...cluster.nodes.values()], step.ms);
    } else if (step.type === 'kill') cluster.killNode(id);
    else if (step.type === 'restart') {
      cluster.killNode(id);
      cluster.startNode(id, 'z');
    } else if (step.type === 'pause') cluster.pauseNode(id, step.ms);
    else if (step.type === 'cutLink') {
      const other = `h${step.other % cluster.nodes.size}`;
      cluster.setLinkBlocked(id, other, true);
      cluster.schedule(step.ms, () => cluster.setLinkBlocked(id, other, false));
    } else if ((step.type === 'cutTable' || step.type === 'isolate') && node !== undefined) {
      // Leaves out the remaining risk of section 4.1 in docs/design.md: all members of the last known
      // row are cut off from the table while a host that joined later reaches it.
      const isOnlyMember = (node.state.ownership.row?.members.length ?? 0) < 2;
      const isAnotherCut = [...cluster.nodes.values()].some((other) => other.isTableUnreachable);
      if (!isOnlyMember && !isAnotherCut) this.cutTables([node], step.ms);
      if (step.type === 'isolate') this.cutLinks(id, step.ms);
    } else if (step.type === 'leave' && node !== undefined) this.leave(node);
    cluster.advance(1_000);
  }

  /** Ends all faults, restarts killed hosts and waits until the zone is stable. */
  settle(): void {
    const { cluster } = this;
    cluster.faults = NO_FAULTS;
    for (const cut of [...cluster.blockedLinks]) {
      const [from = '', to = ''] = cut.split('>');
      cluster.setLinkBlocked(from, to, false);
    }
    for (const node of cluster.nodes.values()) {
      node.isTableUnreachable = false;
      if (!node.isRunning) cluster.startNode(node.id, 'z');
    }
    cluster.advance(150_000);
  }

  getRunning(): ClusterNode[] {
    return [...this.cluster.nodes.values()].filter(
      ({ isRunning, pausedUntil }) => isRunning && pausedUntil <= this.cluster.now,
    );
  }

  /** Returns the running hosts that may give destructive orders to `engine`. */
  getDestructive(engine: string): string[] {
    return this.getRunning()
      .filter((node) =>
        canOrderDestructively(node.state, engine, this.cluster.getMonotonicMs(node), 0),
      )
      .map(({ id }) => id);
  }

  private cutTables(nodes: ClusterNode[], ms: number): void {
    for (const node of nodes) node.isTableUnreachable = true;
    this.cluster.schedule(ms, () => {
      for (const node of nodes) node.isTableUnreachable = false;
    });
  }

  private cutLinks(id: string, ms: number): void {
    const pairs = [...this.cluster.nodes.keys()].flatMap((other) => [
      [id, other] as const,
      [other, id] as const,
    ]);
    for (const [from, to] of pairs) this.cluster.setLinkBlocked(from, to, true);
    this.cluster.schedule(ms, () => {
      for (const [from, to] of pairs) this.cluster.setLinkBlocked(from, to, false);
    });
  }

  private leave(node: ClusterNode): void {
    if (node.isRunning) leaveOwnership(node.state);
    const poll = (): void => {
      if (!node.isRunning) return;
      if (hasLeftOwnership(node.state, this.cluster.getMonotonicMs(node)))
        this.cluster.killNode(node.id);
      else this.cluster.schedule(100, poll);
    };
    poll();
  }

  private check(node: ClusterNode): void {
    for (const engine of engines) {
      const hosts = this.getDestructive(engine);
      if (hosts.length > 1) {
        throw new Error(`${hosts.join(' and ')} may both give destructive orders to ${engine}`);
      }
      const destructive = this.cluster.nodes.get(hosts[0] ?? '');
      if (destructive !== undefined) this.checkOrders(destructive, engine);
    }
    const key = `${node.id}/${node.incarnation}`;
    const epoch = node.state.ownership.row?.epoch ?? 0;
    if (epoch < (this.epochs.get(key) ?? 0)) throw new Error(`epoch of ${key} decreased`);
    this.epochs.set(key, epoch);
    const row = ZoneRow.safeParse(this.cluster.table.getValue('zone/z')).data;
    if ((row?.epoch ?? 0) < this.tableEpoch)
      throw new Error('epoch of the zone row in the table decreased');
    this.tableEpoch = row?.epoch ?? 0;
  }

  /** Checks that `node` cannot unload adapters that other hosts may still use or give orders for. */
  private checkOrders(node: ClusterNode, engine: string): void {
    const { ownership } = node.state;
    for (const other of this.getRunning()) {
      const isNewer = (other.state.ownership.row?.epoch ?? 0) > (ownership.row?.epoch ?? 0);
      if (other !== node && isNewer && other.state.grants.owned.has(engine)) {
        throw new Error(`${node.id} may unload what ${other.id} grants on ${engine}`);
      }
    }
    const key = `${node.id}/${node.incarnation}`;
    const last = this.last.get(engine);
    const acquired = ownership.acquiredEngines.get(engine);
    const age = this.cluster.now - (last?.at ?? -Infinity);
    if (
      last !== undefined &&
      last.key !== key &&
      acquired?.isHandedOver !== true &&
      age < MAX_ORDER_MS
    ) {
      throw new Error(`${key} follows ${last.key} on ${engine} after ${Math.round(age)} ms`);
    }
    this.last.set(engine, { key, at: this.cluster.now });
  }
}

function runTrial(hosts: number, seed: number, list: Step[]): void {
  const trial = Trial.create(seed, hosts);
  trial.cluster.advance(15_000);
  for (const step of list) trial.runStep(step);
  trial.settle();
  for (const engine of engines) {
    const owners = trial.getRunning().map(({ state }) => getActingOwner(state, engine)?.host);
    expect(new Set(owners).size).toBe(1);
    expect(trial.getDestructive(engine)).toEqual([owners[0]]);
  }
}

const host = fc.nat(4);
const steps = fc.array(
  fc.oneof(
    fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 0, max: 90_000 }) }),
    fc.record({
      type: fc.constantFrom('faults' as const, 'outage' as const),
      ms: fc.integer({ min: 1_000, max: 60_000 }),
    }),
    fc.record({
      type: fc.constantFrom('kill' as const, 'restart' as const, 'leave' as const),
      host,
    }),
    fc.record({
      type: fc.constantFrom('pause' as const, 'cutTable' as const, 'isolate' as const),
      host,
      ms: fc.integer({ min: 500, max: 120_000 }),
    }),
    fc.record({
      type: fc.constant('cutLink' as const),
      host,
      other: host,
      ms: fc.integer({ min: 1_000, max: 60_000 }),
    }),
  ),
  { minLength: 1, maxLength: 12 },
);

describe('hosts of a zone under random faults', () => {
  it('never allow destructive orders from two hosts, and end with one owner for each engine', () => {
    fc.assert(
      fc.property(fc.integer({ min: 3, max: 5 }), fc.nat(1_000_000), steps, (hosts, seed, list) => {
        runTrial(hosts, seed, list);
      }),
      // TRIALS and SEED select other runs by hand; the defaults make each run the same.
      { seed: Number(process.env.SEED ?? 20), numRuns: Number(process.env.TRIALS ?? 40) },
    );
  });
});

describe('regressions found by random trials', () => {
  it.each<{ name: string; hosts: number; seed: number; steps: Step[] }>([
    {
      name: 'a slow write removes a member that was paused and has renewed since',
      hosts: 3,
      seed: 830951,
      steps: [
        { type: 'cutLink', host: 0, other: 0, ms: 1000 },
        { type: 'cutLink', host: 0, other: 0, ms: 1000 },
        { type: 'pause', host: 0, ms: 19299 },
        { type: 'wait', ms: 17299 },
      ],
    },
  ])('does not happen again: $name', ({ hosts, seed, steps: list }) => {
    expect(() => runTrial(hosts, seed, list)).not.toThrow();
  });
});

describe('a zone of three hosts', () => {
  it('assigns the engines of a dead host to another owner, which may evict after the wait', () => {
    const trial = Trial.create(1, 3);
    trial.cluster.advance(120_000);
    trial.cluster.killNode('h1');
    trial.cluster.advance(3 * LEASE_TTL_MS);
    for (const engine of engines) {
      for (const { state } of trial.getRunning())
        expect(getActingOwner(state, engine)?.host).not.toBe('h1');
    }
    trial.cluster.advance(60_000);
    for (const engine of engines) expect(trial.getDestructive(engine)).toHaveLength(1);
  });

  it('continues to evict under promises while the table is unavailable for an hour', () => {
    const trial = Trial.create(2, 3);
    trial.cluster.advance(120_000);
    trial.runStep({ type: 'outage', ms: 3_600_000 });
    for (let minute = 0; minute < 59; minute++) {
      trial.cluster.advance(60_000);
      for (const engine of engines) expect(trial.getDestructive(engine)).toHaveLength(1);
    }
  });

  it('keeps its owners but does not evict while the table is unavailable and one host is dead', () => {
    const trial = Trial.create(3, 3);
    trial.cluster.advance(120_000);
    trial.runStep({ type: 'outage', ms: 3_600_000 });
    trial.cluster.killNode('h2');
    trial.cluster.advance(60_000);
    const owned = trial.getRunning().flatMap(({ state }) => [...state.grants.owned.keys()]);
    const ofDead = trial.cluster.nodes.get('h2')?.state.grants.owned;
    expect(owned.sort()).toEqual(engines.filter((engine) => ofDead?.has(engine) !== true));
    for (const engine of engines) expect(trial.getDestructive(engine)).toEqual([]);
  });
});
