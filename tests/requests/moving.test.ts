import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { MAX_FULL_MESH_HOSTS } from '../../src/membership/constants.ts';
import { LINK_OPEN_TIMEOUT_MS } from '../../src/requests/constants.ts';
import { newLinkedHosts } from '../grants/linkedHosts.ts';
import { newRequest } from '../helpers/engines.ts';

type Ask = Extract<Effect, { type: 'sendMessage' }> & { message: { type: 'grantAsk' } };

function getAsks(effects: Effect[]): Ask[] {
  return effects.filter(
    (effect): effect is Ask => effect.type === 'sendMessage' && effect.message.type === 'grantAsk',
  );
}

function arrive(state: State): Effect[] {
  const request = newRequest('r', { adapter: 'a0' });
  return reduce(state, { type: 'requestArrived', request }, 0);
}

/** A host of three whose request `r` waits for the grant of another host. */
function newAsker(): { state: State; sent: Ask } {
  for (const state of newLinkedHosts({ hosts: 3, engines: 6 })) {
    const [sent] = getAsks(arrive(state));
    if (sent !== undefined && sent.to !== state.host.id) return { state, sent };
  }
  throw new Error('no host asked another one');
}

describe('a request that waits for a grant', () => {
  // Guards against waiting for the ask timeout (10 s) at an owner that is gone.
  it('is placed anew at once when the link to the owner closes, without a retry', () => {
    const { state, sent } = newAsker();
    const event = { type: 'linkClosed' as const, host: sent.to, reason: 'ended' };
    const [again] = getAsks(reduce(state, event, 10));
    expect(again?.to).not.toBe(sent.to);
    const request = state.requests.inFlight.get('r');
    expect(request).toMatchObject({
      phase: 'awaitingOwner',
      attempts: 0,
      ask: sent.message.ask + 1,
    });
    expect(request?.excluded.size).toBe(0);
    expect(state.engines.views.get(sent.message.engine)?.sentSinceReport).toBe(0);
  });

  it('stays where it is when another link closes', () => {
    const { state, sent } = newAsker();
    const [other] = [...state.membership.linkedHosts].filter((host) => host !== sent.to);
    const event = { type: 'linkClosed' as const, host: other ?? '', reason: 'ended' };
    expect(getAsks(reduce(state, event, 10))).toEqual([]);
  });

  // Guards against an engine that a request never uses again only because its owner changed.
  it('asks the new owner of the same engine when the old one lost it, and gives up in the end', () => {
    const { state, sent } = newAsker();
    const { engine } = sent.message;
    let current: Ask | undefined = sent;
    const engines: string[] = [];
    for (let now = 10; engines.length < 4 && current !== undefined; now += 5_000) {
      engines.push(current.message.engine);
      const { request, ask } = current.message;
      const message = { request, ask, engine: current.message.engine, reason: 'notOwner' as const };
      const refused = { type: 'grantRefused' as const, ...message };
      reduce(state, { type: 'messageReceived', from: current.to, message: refused }, now);
      [current] = getAsks(reduce(state, { type: 'tick' }, now + 2_000));
    }
    expect(engines.slice(0, 3)).toEqual([engine, engine, engine]);
    expect(engines[3]).not.toBe(engine);
  });
});

/** A host without links whose only engine is owned by `h1` in another zone, of many hosts. */
function newFarAsker(): State {
  const [state] = newLinkedHosts({ hosts: 1, engines: 1, zone: 'far', owners: ['h1'] });
  if (state === undefined) throw new Error('the fleet is empty');
  for (let index = 1; index <= MAX_FULL_MESH_HOSTS + 1; index++) {
    const host = `h${index}`;
    state.membership.hosts.set(host, {
      ...{ host, zone: 'far', region: 'r', address: `${host}:1`, incarnation: 1 },
      ...{ revision: 1, state: 'live', protocol: 1, configurationRevision: 1 },
    });
  }
  return state;
}

describe('an owner of another zone outside the mesh', () => {
  // Guards against engines of other zones that no host of a large deployment can reach.
  it('is linked before it is asked', () => {
    const state = newFarAsker();
    expect(arrive(state)).toContainEqual({ type: 'openLink', host: 'h1', address: 'h1:1' });
    const [sent] = getAsks(reduce(state, { type: 'linkOpened', host: 'h1' }, 40));
    expect(sent?.to).toBe('h1');
    expect(state.membership.onDemandUntil.has('h1')).toBe(true);
  });

  it('is given up on when the link does not open', () => {
    const state = newFarAsker();
    arrive(state);
    const effects = reduce(state, { type: 'tick' }, LINK_OPEN_TIMEOUT_MS + 1);
    expect(effects).toMatchObject([
      {},
      { type: 'failRequest', failure: { kind: 'adapter_unavailable', outcome: 'not_run' } },
    ]);
  });
});
