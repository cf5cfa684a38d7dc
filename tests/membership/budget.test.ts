import { describe, expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { applyRevision } from '../../src/configuration/apply.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { Event } from '../../src/core/events.ts';
import type { Message } from '../../src/core/messages.ts';
import { State } from '../../src/core/state.ts';
import { addResident, getOrCreateEngineView, removeResident } from '../../src/engines/views.ts';
import { ENGINE_UPDATE_BYTES, SUMMARY_BYTES_PER_S } from '../../src/membership/constants.ts';
import { getRelays } from '../../src/membership/hosts.ts';
import { encodeFrame, FRAME_KIND } from '../../src/peers/frames.ts';
import { newZoneEngineChanges } from '../helpers/simulatedCluster.ts';

const HOSTS = 390;
const ZONES = Array.from({ length: 8 }, (_, index) => `zone-${index}`);
const ENGINES_PER_ZONE = 313;
const SLOTS = 8;
const ADAPTERS = 34_000;
const BUDGET_BYTES_PER_S = 8 * 1024;
const SECONDS = 60;

/** Returns one started host of the planned deployment with the links of its role. */
function newHost(isRelay: boolean): State {
  const ids = Array.from({ length: HOSTS }, (_, index) => ({
    id: `host-${index}`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
  const entries = ids.map(({ id, zone }) => ({
    host: id,
    zone,
    region: 'region-0',
    address: '10.0.0.1:8082',
    incarnation: 1,
    revision: 1,
    state: 'live' as const,
    protocol: 1,
    configurationRevision: 1,
  }));
  const zone = ZONES[0] ?? '';
  const newState = (id: string): State => {
    const state = State.create({
      host: { id, zone, region: 'region-0', address: '10.0.0.1:8082', incarnation: 1 },
      policy: {
        stallWeight: 0.5,
        loadsPerS: 4,
        maxRequestsPerCaller: 1,
        maxRequests: 1,
        lameDuckMs: 0,
      },
      randomSeed: 1,
    });
    for (const entry of entries) state.membership.hosts.set(entry.host, { ...entry });
    return state;
  };
  const relays = getRelays(newState('host-0'), zone);
  const zoneHosts = ids.filter((one) => one.zone === zone).map(({ id }) => id);
  const id = isRelay ? relays[0] : zoneHosts.find((zoneHost) => !relays.includes(zoneHost));
  const state = newState(id ?? '');
  applyRevision(state.configuration, {
    revision: 1,
    operator: 'o',
    plan: 'p',
    confirmedAtUnixMs: 0,
    changes: newZoneEngineChanges(ZONES, ENGINES_PER_ZONE),
  });
  const members = zoneHosts.map((host) => ({ host, incarnation: 1 }));
  reduce(state, { type: 'started' }, 0);
  reduce(
    state,
    {
      type: 'messageReceived',
      from: zoneHosts[1] ?? '',
      message: { type: 'zoneRowSeen', zone, rows: [{ epoch: 1, members }] },
    },
    0,
  );
  for (const zoneHost of zoneHosts) if (zoneHost !== id) state.membership.linkedHosts.add(zoneHost);
  if (!isRelay) return state;
  for (const other of ZONES.slice(1)) {
    for (const relay of getRelays(state, other)) state.membership.linkedHosts.add(relay);
  }
  return state;
}

/** Changes the load and the residents of the zone's engines as in one second of high load. */
function changeEngines(state: State, random: Random): void {
  for (const { id, zone } of state.configuration.engines.values()) {
    if (zone !== state.host.zone) continue;
    const view = getOrCreateEngineView(state.engines, id);
    view.state = 'live';
    view.running = random.getInteger(9);
    view.waiting = random.getInteger(3);
    if (view.residents.size < SLOTS || random.getFraction() < 0.01) {
      const [oldest] = view.residents;
      if (oldest !== undefined && view.residents.size >= SLOTS) {
        removeResident(state.engines, id, oldest);
      }
      addResident(state.engines, id, `adapter-${random.getInteger(ADAPTERS)}@v1`);
    }
    if (state.grants.owned.has(id)) continue;
    const previous = state.membership.receivedVersions.get(id);
    const sequence = (previous?.sequence ?? 0) + 1;
    state.membership.receivedVersions.set(id, { epoch: 1, sequence, from: '', requestedAt: 0 });
  }
}

function newSummaries(state: State, second: number): Event[] {
  const relays = getRelays(state, state.host.zone);
  return ZONES.slice(1).flatMap((zone) =>
    relays.map((root, rank): Event => {
      const isRoot = root === state.host.id;
      const zoneHost = [...state.membership.linkedHosts].find(
        (host) => state.membership.hosts.get(host)?.zone === state.host.zone,
      );
      const from = isRoot ? getRelays(state, zone)[rank] : zoneHost;
      const count = Math.floor((SUMMARY_BYTES_PER_S * 5) / ENGINE_UPDATE_BYTES);
      const news = Array.from({ length: count }, (_, index) => ({
        e: `engine-${zone}-${2 * index + rank}`,
        p: 1,
        s: second,
        b: -1,
        l: [8, 2] as [number, number],
      }));
      const message = { type: 'engineDelta' as const, root, news };
      return { type: 'messageReceived', from: from ?? '', message };
    }),
  );
}

function measure(isRelay: boolean): { bytesPerS: number; byType: Map<string, number> } {
  const state = newHost(isRelay);
  const random = Random.create(3);
  const byType = new Map<string, number>();
  const count = (message: Message): void => {
    const bytes = encodeFrame(FRAME_KIND.message, message).length / SECONDS;
    byType.set(message.type, (byType.get(message.type) ?? 0) + bytes);
  };
  const fillSeconds = 2 * SLOTS;
  for (let second = 1; second <= fillSeconds + SECONDS; second++) {
    changeEngines(state, random);
    // Summaries of the other zones arrive every 5 s, half of them over each of two trees.
    const summaries = second % 5 === 0 ? newSummaries(state, second) : [];
    for (const event of summaries) {
      for (const effect of reduce(state, event, (second - 1) * 1000)) {
        if (effect.type === 'sendMessage' && second > fillSeconds) count(effect.message);
      }
    }
    for (let at = (second - 1) * 1000; at < second * 1000; at += 100) {
      for (const effect of reduce(state, { type: 'tick' }, at)) {
        if (effect.type === 'sendMessage' && second > fillSeconds) count(effect.message);
      }
    }
  }
  const heartbeat = encodeFrame(FRAME_KIND.heartbeat, 0).length;
  byType.set('heartbeat', state.membership.linkedHosts.size * heartbeat);
  let bytesPerS = 0;
  for (const bytes of byType.values()) bytesPerS += bytes;
  return { bytesPerS, byType };
}

describe('the bytes that a host sends at the deployment size planned for two years ahead', () => {
  it.each([
    { name: 'a host', isRelay: false },
    { name: 'a relay', isRelay: true },
  ])(
    'stay within the budget for $name while the load of every engine changes each second',
    ({ isRelay }) => {
      const { bytesPerS, byType } = measure(isRelay);
      if (process.env.SHOW !== undefined) console.log(isRelay, Math.round(bytesPerS), byType);
      expect(byType.get('engineDelta')).toBeGreaterThan(0);
      expect(bytesPerS).toBeLessThan(BUDGET_BYTES_PER_S);
    },
  );
});
