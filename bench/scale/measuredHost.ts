import { applyRevision } from '../../src/configuration/apply.ts';
import type { Change } from '../../src/configuration/types.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import { startMembership } from '../../src/membership/handlers.ts';
import type { EngineUpdate, HostEntry } from '../../src/membership/types.ts';
import { getActingOwner } from '../../src/ownership/owner.ts';
import { setZoneRows } from '../policy/ownership.ts';
import type { HostLayout } from '../policy/types.ts';
import { BATCH, MODELS, type DeploymentSize, SLOTS, ZONES } from './sizes.ts';

/** State of one host that knows all hosts, engines and residents of a deployment. */
export interface MeasuredHost {
  readonly state: State;
  readonly ownedEngines: string[];
  /** Engine of the same zone that another host owns, its owner, and the sequence of its last update. */
  readonly remoteEngine: { engine: string; owner: string; sequence: number };
}

/** Creates the host with the configuration, membership and engine reports of a deployment of `size`. */
export function newMeasuredHost(size: DeploymentSize): MeasuredHost {
  const hosts = newHosts(size);
  const state = newState({ id: 'host-0', zone: 'zone-0' });
  applyRevision(state.configuration, {
    revision: 1,
    changes: getChanges(size),
    operator: 'bench',
    confirmedAtUnixMs: 0,
    plan: 'bench',
  });
  startMembership(state, 0);
  receiveMembership(state, hosts);
  setZoneRows(state, hosts);
  receiveReports(state);
  const remoteEngine = receiveEngineUpdates(state);
  return { state, ownedEngines: [...state.grants.owned.keys()], remoteEngine };
}

/** Creates the hosts of a deployment, spread evenly over the zones. */
export function newHosts(size: DeploymentSize): HostLayout[] {
  return Array.from({ length: size.hosts }, (_, index) => ({
    id: `host-${index}`,
    zone: `zone-${index % ZONES}`,
  }));
}

/** Returns the residents of the engine with `index`, spread over the adapters of its model. */
export function getResidents(size: { adapters: number }, index: number): string[] {
  return Array.from({ length: SLOTS }, (_, slot) => {
    const adapterIndex = (index * SLOTS + slot) * MODELS + (index % MODELS);
    return `adapter-${adapterIndex % size.adapters}@v1`;
  });
}

/** Returns the event of a load report with two running requests per resident. */
export function newReportEvent(engine: string, residents: string[]): Event {
  const running = Object.fromEntries(residents.map((model) => [model, 2]));
  const report = { bootId: '1', running, waiting: 0, slots: SLOTS, residents };
  return { type: 'engineReported', engine, report };
}

/** Creates the state of a host without configuration. */
export function newState({ id, zone }: HostLayout): State {
  return State.create({
    host: {
      id,
      zone,
      region: 'region',
      address: '127.0.0.1:1',
      incarnation: 1,
    },
    policy: {
      stallWeight: 0.5,
      loadsPerS: 1_000,
      maxRequestsPerCaller: 1_000,
      maxRequests: 10_000,
      lameDuckMs: 0,
    },
    randomSeed: 1,
  });
}

/** Returns the configuration changes that add the engines. */
export function getEngineChanges(size: DeploymentSize): Change[] {
  return Array.from({ length: size.engines }, (_, index): Change => ({
    type: 'putEngine',
    engine: {
      id: `engine-${index}`,
      address: `127.0.0.1:${10_000 + index}`,
      zone: `zone-${index % ZONES}`,
      pool: `pool-${index % MODELS}`,
      model: `model-${index % MODELS}`,
      slots: SLOTS,
      batch: BATCH,
      checksFencing: true,
    },
  }));
}

function getChanges(size: DeploymentSize): Change[] {
  const adapters = Array.from({ length: size.adapters }, (_, index): Change => ({
    type: 'putAdapter',
    adapter: newAdapter(index),
  }));
  return [...getEngineChanges(size), ...adapters];
}

/** Creates the configuration of the adapter with `index`. */
export function newAdapter(index: number): Extract<Change, { type: 'putAdapter' }>['adapter'] {
  return {
    name: `adapter-${index}`,
    firm: index % 2 === 0 ? 'atlas' : 'corail',
    model: `model-${index % MODELS}`,
    versions: { v1: { source: `http://127.0.0.1/weights/${index}` } },
    inForce: 'v1',
  };
}

/** Creates the membership entries of `hosts`. */
export function newEntries(hosts: readonly HostLayout[]): HostEntry[] {
  return hosts.map(({ id, zone }, index) => ({
    host: id,
    zone,
    region: 'region',
    address: `127.0.0.1:${2_000 + index}`,
    incarnation: 1,
    revision: 1,
    state: 'live',
    protocol: 1,
    configurationRevision: 1,
  }));
}

function receiveMembership(state: State, hosts: readonly HostLayout[]): void {
  const entries = newEntries(hosts);
  const others = entries.filter(({ host }) => host !== state.host.id);
  for (const { host } of others) reduce(state, { type: 'linkOpened', host }, 0);
  const message = { type: 'membershipDelta' as const, entries: others };
  reduce(state, { type: 'messageReceived', from: 'host-1', message }, 0);
}

function receiveReports(state: State): void {
  for (const engine of state.grants.owned.keys()) {
    const index = Number(engine.split('-')[1]);
    const residents = getResidents({ adapters: state.configuration.adapters.size }, index);
    reduce(state, newReportEvent(engine, residents), 1);
  }
}

function receiveEngineUpdates(state: State): MeasuredHost['remoteEngine'] {
  let remoteEngine: MeasuredHost['remoteEngine'] | undefined;
  const { adapters, engines } = state.configuration;
  let index = 0;
  for (const { id, zone } of engines.values()) {
    const residents = getResidents({ adapters: adapters.size }, index++);
    const owner = getActingOwner(state, id)?.host ?? '';
    if (owner === state.host.id) continue;
    const update: EngineUpdate = {
      e: id,
      p: 1,
      s: 0,
      b: -1,
      state: 'live',
      l: [8, 0],
      add: residents,
    };
    const message = { type: 'engineDelta' as const, news: [update] };
    reduce(state, { type: 'messageReceived', from: owner, message }, 1);
    if (zone === state.host.zone) remoteEngine = { engine: id, owner, sequence: 0 };
  }
  if (remoteEngine === undefined)
    throw new Error(
      `no engine of ${state.host.zone} is owned by another host than ${state.host.id}`,
    );
  return remoteEngine;
}
