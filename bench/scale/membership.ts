import { Random } from '../../src/base/random.ts';
import { applyRevision } from '../../src/configuration/apply.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { addResident, getOrCreateEngineView } from '../../src/engines/views.ts';
import { startMembership } from '../../src/membership/handlers.ts';
import { MAX_FULL_MESH_HOSTS } from '../../src/membership/constants.ts';
import { getRelays, isFullMesh } from '../../src/membership/hosts.ts';
import { encodeFrame, FRAME_KIND } from '../../src/peers/frames.ts';
import { setZoneRows } from '../policy/ownership.ts';
import type { DeploymentSize } from './sizes.ts';
import { getEngineChanges, getResidents, newEntries, newHosts, newState } from './measuredHost.ts';

/** Cost of membership per second for a host that is not a relay. */
export interface MembershipCost {
  membershipCpuUsPerS: number;
  membershipSentBytesPerS: number;
  membershipReceivedBytesPerS: number;
}

const WARM_UP_S = 20;
const MEASURED_S = 30;
const STEP_MS = 100;

/**
 * Simulates the hosts that are linked with each other in a deployment of `size`, and measures one of
 * them: all hosts if they form a full mesh, otherwise those of one zone.
 */
export function measureMembership(size: DeploymentSize): MembershipCost {
  const hosts = newHosts(size);
  const entries = newEntries(hosts);
  const zone = 'zone-0';
  const states = hosts
    .filter((host) => hasFullMesh(size) || host.zone === zone)
    .map((host) => {
      const state = newState(host);
      const changes = getEngineChanges(size);
      const base = { operator: 'bench', confirmedAtUnixMs: 0, plan: 'bench' };
      applyRevision(state.configuration, { revision: 1, changes, ...base });
      for (const entry of entries) state.membership.hosts.set(entry.host, { ...entry });
      return state;
    });
  const byId = new Map(states.map((state) => [state.host.id, state]));
  for (const state of states) {
    for (const id of byId.keys()) if (id !== state.host.id) state.membership.linkedHosts.add(id);
    setZoneRows(state, hosts);
    startMembership(state, 0);
  }
  const measured = states.find(({ host }) => host.zone === zone && !isRelay(byId, host.id));
  const total = { cpuUs: 0, sent: 0, received: 0 };
  const random = Random.create(1);
  const handleEvent = (state: State, event: Event, now: number): Effect[] => {
    if (state !== measured) return reduce(state, event, now);
    const start = process.cpuUsage();
    const effects = reduce(state, event, now);
    const { user, system } = process.cpuUsage(start);
    if (now >= WARM_UP_S * 1_000) total.cpuUs += user + system;
    return effects;
  };
  let now = 0;
  const queue: { from: State; effect: Effect }[] = [];
  const deliverAll = (): void => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const { from, effect } = next;
      if (effect.type !== 'sendMessage' || effect.to === from.host.id) continue;
      const to = byId.get(effect.to);
      if (to === undefined) continue;
      const { message } = effect;
      if (now >= WARM_UP_S * 1_000 && (from === measured || to === measured)) {
        const bytes = encodeFrame(FRAME_KIND.message, message).length;
        if (from === measured) total.sent += bytes;
        else total.received += bytes;
      }
      const event = { type: 'messageReceived' as const, from: from.host.id, message };
      for (const one of handleEvent(to, event, now)) queue.push({ from: to, effect: one });
    }
  };
  for (; now < (WARM_UP_S + MEASURED_S) * 1_000; now += STEP_MS) {
    if (now % 1_000 === 0) for (const state of states) changeEngines(state, size, random);
    for (const state of states) {
      for (const effect of handleEvent(state, { type: 'tick' }, now))
        queue.push({ from: state, effect });
    }
    deliverAll();
  }
  const heartbeats = (states.length - 1) * encodeFrame(FRAME_KIND.heartbeat, 0).length;
  return {
    membershipCpuUsPerS: total.cpuUs / MEASURED_S,
    membershipSentBytesPerS: total.sent / MEASURED_S + heartbeats,
    membershipReceivedBytesPerS: total.received / MEASURED_S + heartbeats,
  };
}

/** Changes the load of each owned engine as in one busy second; adds a resident with probability 1 %. */
function changeEngines(state: State, size: DeploymentSize, random: Random): void {
  for (const engine of state.grants.owned.keys()) {
    const view = getOrCreateEngineView(state.engines, engine);
    view.state = 'live';
    view.running = random.getInteger(9);
    view.waiting = random.getInteger(3);
    if (view.residents.size === 0) {
      const index = Number(engine.split('-')[1]);
      for (const model of getResidents(size, index)) addResident(state.engines, engine, model);
    } else if (random.getFraction() < 0.01) {
      addResident(state.engines, engine, `adapter-${random.getInteger(size.adapters)}@v1`);
    }
  }
}

function isRelay(states: Map<string, State>, id: string): boolean {
  const state = states.get(id);
  return state === undefined || (!isFullMesh(state) && getRelays(state, 'zone-0').includes(id));
}

function hasFullMesh({ hosts }: DeploymentSize): boolean {
  return hosts <= MAX_FULL_MESH_HOSTS;
}
