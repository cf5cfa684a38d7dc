import { describe, expect, it } from 'vitest';
import { HEAD_KEY } from '../../src/configuration/constants.ts';
import { parseIntent } from '../../src/configuration/intent.ts';
import { getRevisionKey } from '../../src/configuration/keys.ts';
import type { Plan } from '../../src/configuration/plan.ts';
import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { OperatorCommand } from '../../src/operators/types.ts';
import {
  SimulatedCluster,
  newZoneEngineChanges,
  type ClusterNode,
} from '../helpers/simulatedCluster.ts';

const ZONES = ['casa-a', 'casa-b', 'rabat-a', 'tanger-a'];
const IN_FORCE_MS = 5_000;
const adapter = (inForce: string): Change => ({
  type: 'putAdapter',
  adapter: {
    ...{ name: 'label', firm: 'atlas', model: 'm', inForce },
    versions: { v1: { source: 's1' }, v2: { source: 's2' } },
  },
});
const warm: Change = { type: 'putWarm', warm: { adapter: 'label', pool: 'p', copies: 1 } };
const revision = { operator: 'o', plan: 'p', confirmedAtUnixMs: 0 };
const INTENT = `adapters:
  - name: label
    firm: atlas
    model: m
    inForce: v2
    versions: { v1: { source: s1 }, v2: { source: s2 } }`;

/** Two engines in each zone, each with its own address. */
function newZoneEngines(): Change[] {
  return newZoneEngineChanges(ZONES, 2).map((change, index) => {
    if (change.type !== 'putEngine') return change;
    return { ...change, engine: { ...change.engine, address: `127.0.0.1:${index + 1}` } };
  });
}

/** Returns hosts in four zones that run version v1, and records their answers and loads. */
function newFourZoneCluster() {
  const cluster = SimulatedCluster.create(11, [...newZoneEngines(), adapter('v1'), warm]);
  for (const zone of ZONES) for (const nth of [0, 1]) cluster.startNode(`${zone}-${nth}`, zone);
  const answers = new Map<string, unknown>();
  const loads: { host: string; zone: string; model: string; at: number }[] = [];
  cluster.afterEvent = (node, effects) => {
    for (const effect of effects) {
      if (effect.type === 'answerOperator') {
        const { answer } = effect;
        answers.set(effect.id, answer.type === 'done' ? answer.body : answer.details);
      }
      if (effect.type === 'orderEngine') executeOrder(cluster, node, effect);
      if (effect.type === 'orderEngine' && effect.order.type === 'load') {
        const { model } = effect.order;
        loads.push({ host: node.id, zone: node.zone, model, at: cluster.now });
      }
    }
  };
  const condition = { type: 'any' } as const;
  const changes = [adapter('v1'), warm];
  cluster.table.apply({
    type: 'write',
    writes: [
      { type: 'put', key: HEAD_KEY, value: { revision: 1 }, condition },
      {
        type: 'put',
        key: getRevisionKey(1),
        value: { revision: 1, changes, ...revision },
        condition,
      },
    ],
  });
  cluster.advance(60_000);
  const sendCommand = (host: string, id: string, command: OperatorCommand): void => {
    const node = cluster.nodes.get(host);
    if (node === undefined) throw new Error(`no host ${host}`);
    cluster.dispatch(node, newOperatorCommand(id, command));
  };
  return { cluster, answers, loads, sendCommand };
}

function newOperatorCommand(id: string, command: OperatorCommand) {
  return { type: 'operatorCommandReceived' as const, id, operator: 'o', command, atUnixMs: 0 };
}

/** Executes an order after 250 ms, the duration of a load. */
function executeOrder(
  cluster: SimulatedCluster,
  node: ClusterNode,
  { engine, epoch, order }: Extract<Effect, { type: 'orderEngine' }>,
): void {
  cluster.schedule(250, () => {
    const residents = cluster.residents.get(engine) ?? [];
    if (order.type === 'load') cluster.residents.set(engine, [...residents, order.model]);
    const answer = { type: 'done' as const };
    cluster.dispatch(node, { type: 'orderAnswered', engine, epoch, order, answer });
  });
}

/** Confirms v2 on a host of the first zone. Returns ms until each host has it, and its loads. */
function confirmNewVersion(tableMs: number, slowZone: string | undefined) {
  const { cluster, answers, loads, sendCommand } = newFourZoneCluster();
  sendCommand('casa-a-0', 'plan', { type: 'makePlan', intent: parseIntent(INTENT).unwrap() });
  cluster.advance(1_000);
  const plan = answers.get('plan') as Plan;
  cluster.tableMs = tableMs;
  const isSlow = (host: string) => slowZone !== undefined && host.startsWith(slowZone);
  cluster.getLinkMs = (from, to) => (isSlow(from) !== isSlow(to) ? 500 : 1);
  // Lets slow calls be in flight when the plan is confirmed.
  cluster.advance(10_000);
  const confirmedAt = cluster.now;
  sendCommand('casa-a-0', 'confirm', { type: 'confirmPlan', plan: plan.id });
  const inForceMs = new Map<string, number>();
  while (cluster.now < confirmedAt + 20_000) {
    for (const { id, state } of cluster.nodes.values()) {
      const isNew = state.configuration.revision === 2 && !inForceMs.has(id);
      if (isNew) inForceMs.set(id, cluster.now - confirmedAt);
    }
    cluster.advance(50);
  }
  expect(answers.get('confirm')).toMatchObject({ revision: 2 });
  const newVersionLoads = loads.filter(({ model }) => model === 'label@v2');
  return {
    inForceMs,
    newVersionLoads: newVersionLoads.map((load) => ({ ...load, at: load.at - confirmedAt })),
  };
}

describe('a confirmed revision', () => {
  // Guards against hosts that keep an old configuration (G8).
  it.each([
    { name: 'the platform is fast', tableMs: 4, slowZone: undefined },
    { name: 'every call of the table takes 1.5 s', tableMs: 1_500, slowZone: undefined },
    { name: 'the links of the confirming zone are slow', tableMs: 4, slowZone: 'casa-a' },
    { name: 'the links of another zone are slow', tableMs: 4, slowZone: 'rabat-a' },
    { name: 'the table and the links of a zone are slow', tableMs: 1_500, slowZone: 'rabat-a' },
  ])(
    'is in force on all hosts within 5 s of its confirmation while $name',
    ({ tableMs, slowZone }) => {
      const { inForceMs, newVersionLoads } = confirmNewVersion(tableMs, slowZone);
      const latest = Math.max(...inForceMs.values());
      if (process.env.SHOW !== undefined) console.log(tableMs, slowZone, latest, newVersionLoads);
      expect(inForceMs.size).toBe(8);
      expect(latest).toBeLessThanOrEqual(IN_FORCE_MS);
      // One copy in each zone, ordered when the owner next compares residents with the intent.
      expect(newVersionLoads.map(({ zone }) => zone).sort()).toEqual(ZONES);
      const last = Math.max(...newVersionLoads.map(({ at }) => at));
      expect(last).toBeLessThanOrEqual(latest + 1_100);
    },
  );
});
