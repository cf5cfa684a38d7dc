import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { acceptRevisions } from '../../src/configuration/acceptRevisions.ts';
import type { Change } from '../../src/configuration/types.ts';
import { reduce } from '../../src/core/reduce.ts';
import { choosePlacement } from '../../src/routing/placement.ts';
import type { Request } from '../../src/requests/types.ts';
import { Random } from '../../src/base/random.ts';
import { type MembershipCost, measureMembership } from './membership.ts';
import type { DeploymentSize } from './sizes.ts';
import {
  getResidents,
  newAdapter,
  newReportEvent,
  newMeasuredHost,
  type MeasuredHost,
} from './measuredHost.ts';

/** CPU time of one call in microseconds, and heap of one host in MB. */
export interface ScaleResult extends DeploymentSize, MembershipCost {
  decisionResidentUs: number;
  decisionColdUs: number;
  loadReportUs: number;
  engineNewsUs: number;
  membershipRoundUs: number;
  adapterChangeUs: number;
  engineChangeUs: number;
  heapMb: number;
}

const ROUNDS = 5;
const SOURCE = { type: 'table' } as const;

/** Measures one host of a deployment of `size`. */
export function measureScale(size: DeploymentSize): ScaleResult {
  const before = getHeapMb();
  const host = newMeasuredHost(size);
  const heapMb = getHeapMb() - before;
  return {
    ...size,
    decisionResidentUs: measureCpuUs(newDecisions(host, size, true), 4_000),
    decisionColdUs: measureCpuUs(newDecisions(host, size, false), 4_000),
    loadReportUs: measureCpuUs(newReports(host, size), 1_000),
    engineNewsUs: measureCpuUs(newEngineUpdates(host), 1_000),
    membershipRoundUs: measureCpuUs(newMembershipRounds(host), 20),
    adapterChangeUs: measureCpuUs(newChanges(host, newAdapterChange), 20),
    engineChangeUs: measureCpuUs(newChanges(host, newEngineChange), 3),
    ...measureMembership(size),
    heapMb,
  };
}

/** Returns the minimum of several means, which other load on the machine affects least. */
function measureCpuUs(call: () => void, calls: number): number {
  for (let index = 0; index < calls; index++) call();
  const means = Array.from({ length: ROUNDS }, () => {
    const start = process.cpuUsage();
    for (let index = 0; index < calls; index++) call();
    const { user, system } = process.cpuUsage(start);
    return (user + system) / calls;
  });
  return Math.min(...means);
}

function newDecisions(
  { state }: MeasuredHost,
  size: DeploymentSize,
  isResident: boolean,
): () => void {
  const random = Random.create(1);
  return () => {
    const engine = random.getInteger(size.engines);
    const resident = getResidents(size, engine)[random.getInteger(8)] ?? '';
    const model = isResident ? resident : `adapter-${random.getInteger(size.adapters)}@v0`;
    choosePlacement(state, newRequest(model), 0);
  };
}

function newRequest(model: string): Request {
  return {
    id: 'r',
    firm: 'atlas',
    caller: 'c',
    kind: 'ordinary',
    adapter: model.split('@')[0] ?? '',
    version: 'v1',
    model,
    deadline: 60_000,
    fingerprint: 'x',
    maxTokens: 8,
    draft: undefined,
    priority: 5,
    arrivedAt: 0,
    phase: 'backoff',
    grantRequestNumber: 0,
    pendingGrant: undefined,
    attempt: undefined,
    attempts: 0,
    excluded: new Set(),
    ownerChanges: 0,
    linkedOwners: new Set(),
    loadStallMs: 0,
    hasRequestedSuspectRow: false,
    mayHaveRun: false,
    lastRefusal: undefined,
    crashCheck: undefined,
  };
}

function newReports({ state, ownedEngines }: MeasuredHost, size: DeploymentSize): () => void {
  let index = 0;
  return () => {
    const engine = ownedEngines[index++ % ownedEngines.length] ?? '';
    const residents = getResidents(size, Number(engine.split('-')[1]));
    reduce(state, newReportEvent(engine, residents), 2);
  };
}

function newEngineUpdates({ state, remoteEngine }: MeasuredHost): () => void {
  return () => {
    const { engine: e, owner, sequence: b } = remoteEngine;
    remoteEngine.sequence += 1;
    const update = { e, p: 1, s: b + 1, b, l: [b % 7, 0] as [number, number] };
    const message = { type: 'engineDelta' as const, news: [update] };
    reduce(state, { type: 'messageReceived', from: owner, message }, 2);
  };
}

/** One second of all periodic work: gossip, reconciliation and polls. */
function newMembershipRounds({ state }: MeasuredHost): () => void {
  let now = 10;
  return () => {
    now += 1_000;
    reduce(state, { type: 'tick' }, now);
  };
}

function newChanges({ state }: MeasuredHost, newChange: (nth: number) => Change): () => void {
  return () => {
    const revision = state.configuration.revision + 1;
    const change = newChange(revision);
    const base = { operator: 'bench', confirmedAtUnixMs: 0, plan: 'bench' };
    acceptRevisions(state, [{ revision, changes: [change], ...base }], SOURCE, 3);
    // The first decision after a change of engines rebuilds the hash rings.
    choosePlacement(state, newRequest('adapter-1@v0'), 0);
  };
}

const newAdapterChange = (nth: number): Change => ({
  type: 'putAdapter',
  adapter: newAdapter(nth % 100),
});

const newEngineChange = (nth: number): Change => ({
  type: 'putEngine',
  engine: {
    id: `extra-${nth}`,
    address: '127.0.0.1:9',
    zone: 'zone-1',
    pool: 'pool-1',
    model: 'model-1',
    slots: 8,
    batch: 32,
    checksFencing: true,
  },
});

function getHeapMb(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed / 2 ** 20;
}
