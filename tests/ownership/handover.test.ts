import { describe, expect, it } from 'vitest';
import type { OwnedEngine, Pin } from '../../src/grants/types.ts';
import { hasLeftOwnership, leaveOwnership } from '../../src/ownership/leave.ts';
import { canOrderDestructively, getActingOwner } from '../../src/ownership/owner.ts';
import {
  SimulatedCluster,
  newZoneEngineChanges,
  type ClusterNode,
} from '../helpers/simulatedCluster.ts';

const MODEL = 'a@1';

function newPin(grant: string, expiresAt: number): Pin {
  return {
    grant,
    request: `request-${grant}`,
    host: 'h1',
    model: MODEL,
    firm: 'f',
    fingerprint: '',
    grantedAt: 0,
    expiresAt,
  };
}

/** Starts two hosts; returns the cluster, the owner of an engine and the other host. */
function newPair(): {
  cluster: SimulatedCluster;
  engine: string;
  owner: ClusterNode;
  other: ClusterNode;
} {
  const cluster = SimulatedCluster.create(4, newZoneEngineChanges(['z'], 6));
  const nodes = [cluster.startNode('h0', 'z'), cluster.startNode('h1', 'z')];
  cluster.advance(90_000);
  const owner = nodes.find(({ state }) => state.grants.owned.size > 0);
  const other = nodes.find((node) => node !== owner);
  const [engine] = owner?.state.grants.owned.keys() ?? [];
  if (owner === undefined || other === undefined || engine === undefined) {
    throw new Error('no host owns an engine');
  }
  return { cluster, engine, owner, other };
}

function getOwned(node: ClusterNode, engine: string): OwnedEngine {
  const owned = node.state.grants.owned.get(engine);
  if (owned === undefined) throw new Error(`${node.id} does not own ${engine}`);
  return owned;
}

function leave(cluster: SimulatedCluster, node: ClusterNode): void {
  leaveOwnership(node.state);
  for (let step = 0; step < 100; step++) {
    if (hasLeftOwnership(node.state, cluster.getMonotonicMs(node))) return;
    cluster.advance(50);
  }
  throw new Error(`${node.id} did not leave`);
}

describe('a host that leaves the zone row', () => {
  it('sends its pins to the successor, which may evict at once but keeps pinned adapters', () => {
    const { cluster, engine, owner, other } = newPair();
    const now = cluster.getMonotonicMs(owner);
    getOwned(owner, engine).pins.set('g1', newPin('g1', now + 60_000));
    getOwned(owner, engine).pins.set('g2', newPin('g2', now + 500));
    leave(cluster, owner);
    cluster.advance(1_000);
    expect(getActingOwner(other.state, engine)?.host).toBe(other.id);
    expect([...getOwned(other, engine).pins.keys()]).toEqual(['g1']);
    expect(canOrderDestructively(other.state, engine, cluster.getMonotonicMs(other), 1)).toBe(true);
  });

  it('forwards the release of a grant to the successor, so that the pin is removed', () => {
    const { cluster, engine, owner, other } = newPair();
    const pin = newPin('g1', cluster.getMonotonicMs(owner) + 60_000);
    getOwned(owner, engine).pins.set('g1', pin);
    leave(cluster, owner);
    cluster.dispatch(owner, {
      type: 'messageReceived',
      from: 'h9',
      message: {
        type: 'grantReleased',
        request: pin.request,
        engine,
        grant: 'g1',
        result: 'completed',
      },
    });
    cluster.advance(100);
    expect(getOwned(other, engine).pins.size).toBe(0);
  });

  it('waits for an unload order in flight before it releases the engine', () => {
    const { cluster, engine, owner, other } = newPair();
    getOwned(owner, engine).unloading.set(MODEL, cluster.getMonotonicMs(owner));
    leaveOwnership(owner.state);
    cluster.advance(5_000);
    expect(other.state.grants.owned.has(engine)).toBe(false);
    getOwned(owner, engine).unloading.delete(MODEL);
    cluster.advance(2_000);
    expect(other.state.grants.owned.has(engine)).toBe(true);
  });
});

// Guards against grant requests that stay queued at a former owner until they time out (10 s).
describe('the grant requests queued at an owner', () => {
  it.each([
    { name: 'leaves', change: leave },
    {
      name: 'loses engines to new members',
      change: (cluster: SimulatedCluster) => {
        for (const id of ['h2', 'h3', 'h4']) cluster.startNode(id, 'z');
      },
    },
    {
      name: 'is removed while it is paused',
      change: (cluster: SimulatedCluster, owner: ClusterNode) => {
        cluster.pauseNode(owner.id, 60_000);
        cluster.advance(61_000);
      },
    },
  ])('are refused as soon as it loses the engine when it $name', ({ change }) => {
    const { cluster, owner, other } = newPair();
    const before = [owner, other].map(
      (node) => [node, [...node.state.grants.owned.keys()]] as const,
    );
    const initialEngines = new Map(before);
    const unrefused: string[] = [];
    const refused = new Set<string>();
    cluster.afterEvent = (node, effects) => {
      const engines = initialEngines.get(node) ?? [];
      for (const effect of effects) {
        if (effect.type !== 'sendMessage' || effect.message.type !== 'grantRefused') continue;
        if (effect.message.reason === 'notOwner') refused.add(effect.message.engine);
      }
      const lost = engines.filter((engine) => !node.state.grants.owned.has(engine));
      unrefused.push(...lost.filter((engine) => !refused.has(engine)));
    };
    for (const [node, engines] of before)
      for (const engine of engines) {
        const message = {
          ...{ type: 'grantAsk' as const, request: `r-${engine}`, ask: 1, engine, model: MODEL },
          ...{ firm: 'f', kind: 'ordinary' as const, priority: 5, remainingMs: 300_000 },
          ...{ fingerprint: 'x', maxTokens: 8 },
        };
        cluster.dispatch(node, { type: 'messageReceived', from: 'h9', message });
      }
    change(cluster, owner);
    cluster.advance(30_000);
    expect(refused.size).toBeGreaterThan(0);
    expect(unrefused).toEqual([]);
  });
});

describe('a host that joins the zone row', () => {
  it('does not grant an adapter that its predecessor is unloading', () => {
    const cluster = SimulatedCluster.create(4, newZoneEngineChanges(['z'], 6));
    const first = cluster.startNode('h0', 'z');
    for (let index = 0; index < 6; index++) cluster.residents.set(`engine-z-${index}`, [MODEL]);
    cluster.advance(60_000);
    for (const owned of first.state.grants.owned.values()) owned.unloading.set(MODEL, 0);
    const second = cluster.startNode('h1', 'z');
    cluster.advance(10_000);
    expect(second.state.grants.owned.size).toBeGreaterThan(0);
    for (const owned of second.state.grants.owned.values()) {
      expect(owned.residents.has(MODEL)).toBe(false);
    }
    cluster.advance(30_000);
    for (const owned of second.state.grants.owned.values()) {
      expect(owned.residents.has(MODEL)).toBe(true);
    }
  });
});
