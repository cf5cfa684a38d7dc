import { describe, expect, it } from 'vitest';
import { addResident, getOrCreateEngineView } from '../../src/engines/views.ts';
import { isEndpointLeaving } from '../../src/membership/endpoints.ts';
import { getLiveHosts } from '../../src/membership/hosts.ts';
import { MAX_FULL_MESH_HOSTS } from '../../src/membership/constants.ts';
import { SimulatedCluster, NO_FAULTS, newZoneEngineChanges } from '../helpers/simulatedCluster.ts';

const ZONES = ['a', 'b', 'c'];
const LOSSY = { ...NO_FAULTS, loss: 0.2, duplicate: 0.2, late: 0.3 };

function newCluster(hostsPerZone: number, seed: number): SimulatedCluster {
  const cluster = SimulatedCluster.create(seed, newZoneEngineChanges(ZONES, 4));
  for (let index = 0; index < hostsPerZone; index++) {
    for (const zone of ZONES) cluster.startNode(`${zone}${index}`, zone);
  }
  return cluster;
}

function getViews(cluster: SimulatedCluster): string[][] {
  return [...cluster.nodes.values()]
    .filter(({ isRunning }) => isRunning)
    .map(({ state }) => ZONES.flatMap((zone) => getLiveHosts(state, zone)));
}

describe('membership', () => {
  it.each([
    { name: 'a full mesh', hostsPerZone: 3 },
    { name: 'zones that only their relays link', hostsPerZone: MAX_FULL_MESH_HOSTS / 2 - 8 },
  ])('of $name converges under loss, and after a host is killed', ({ hostsPerZone }) => {
    const cluster = newCluster(hostsPerZone, 5);
    cluster.faults = LOSSY;
    cluster.advance(15_000);
    cluster.faults = NO_FAULTS;
    cluster.advance(60_000);
    for (const view of getViews(cluster)) expect(view).toHaveLength(hostsPerZone * ZONES.length);
    cluster.killNode('b0');
    cluster.advance(120_000);
    for (const view of getViews(cluster)) expect(view).not.toContain('b0');
  });

  it('marks a host as live again that others marked as gone during a network partition', () => {
    const cluster = newCluster(3, 6);
    cluster.advance(15_000);
    const others = [...cluster.nodes.keys()].filter((id) => id !== 'a0');
    for (const isCut of [true, false]) {
      for (const other of others) {
        cluster.setLinkBlocked(other, 'a0', isCut);
        cluster.setLinkBlocked('a0', other, isCut);
      }
      const node = cluster.nodes.get('a0');
      if (node !== undefined) node.isTableUnreachable = isCut;
      cluster.advance(90_000);
      const seen = cluster.nodes.get('a1');
      expect(seen?.state.membership.hosts.get('a0')?.state).toBe(isCut ? 'gone' : 'live');
    }
  });

  it('announces to every host which endpoints the host list marks as leaving', () => {
    const cluster = newCluster(2, 7);
    cluster.advance(15_000);
    const node = cluster.nodes.get('a0');
    if (node === undefined) throw new Error('host a0 is missing');
    const entries = [
      {
        id: 'engine-a-1',
        kind: 'engine',
        address: '127.0.0.1:1',
        zone: 'a',
        state: 'leaving' as const,
      },
    ];
    cluster.dispatch(node, { type: 'hostListRead', entries });
    cluster.advance(100);
    for (const { state } of cluster.nodes.values()) {
      expect(isEndpointLeaving(state, 'engine-a-1')).toBe(true);
    }
  });
});

describe('engine updates', () => {
  it.each([
    { name: 'a full mesh', hostsPerZone: 2, seed: 1 },
    { name: 'relays and trees', hostsPerZone: MAX_FULL_MESH_HOSTS / 2 - 8, seed: 2 },
  ])('reach every host over $name despite message loss', ({ hostsPerZone, seed }) => {
    const cluster = newCluster(hostsPerZone, seed);
    cluster.advance(15_000);
    cluster.faults = LOSSY;
    for (const model of ['x@1', 'y@1', 'z@1']) {
      for (const zone of ZONES) cluster.residents.set(`engine-${zone}-0`, ['k@1', model]);
      cluster.advance(10_000);
    }
    cluster.faults = NO_FAULTS;
    cluster.advance(90_000);
    for (const { state } of cluster.nodes.values()) {
      for (const zone of ZONES) {
        const view = getOrCreateEngineView(state.engines, `engine-${zone}-0`);
        expect([...view.residents].sort()).toEqual(['k@1', 'z@1']);
      }
      expect(state.engines.holders.get('z@1')?.size).toBe(ZONES.length);
      expect(state.engines.holders.has('x@1')).toBe(false);
    }
  });

  it('do not overwrite the state that the owner itself holds', () => {
    const cluster = newCluster(1, 3);
    cluster.advance(15_000);
    const node = cluster.nodes.get('a0');
    if (node === undefined) throw new Error('host a0 is missing');
    addResident(node.state.engines, 'engine-a-0', 'own@1');
    const news = [{ e: 'engine-a-0', p: 99, s: 9, b: -1, l: [0, 0] as [number, number] }];
    cluster.dispatch(node, {
      type: 'messageReceived',
      from: 'b0',
      message: { type: 'engineDelta', news },
    });
    expect(getOrCreateEngineView(node.state.engines, 'engine-a-0').residents.has('own@1')).toBe(
      true,
    );
  });
});
