import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { reduce } from '../../src/core/reduce.ts';
import type { State } from '../../src/core/state.ts';
import { MAX_FULL_MESH_HOSTS } from '../../src/membership/constants.ts';
import { LINK_OPEN_TIMEOUT_MS } from '../../src/requests/constants.ts';
import { newLinkedHosts } from '../grants/linkedHosts.ts';
import { newRequest } from '../helpers/engines.ts';

type GrantRequestEffect = Extract<Effect, { type: 'sendMessage' }> & {
  message: { type: 'grantAsk' };
};

function getGrantRequests(effects: Effect[]): GrantRequestEffect[] {
  return effects.filter(
    (effect): effect is GrantRequestEffect =>
      effect.type === 'sendMessage' && effect.message.type === 'grantAsk',
  );
}

function arrive(state: State): Effect[] {
  const request = newRequest('r', { adapter: 'a0' });
  return reduce(state, { type: 'requestArrived', request }, 0);
}

/** Returns one of three hosts, whose request `r` waits for a grant from another host. */
function newRequestingHost(): { state: State; sent: GrantRequestEffect } {
  for (const state of newLinkedHosts({ hosts: 3, engines: 6 })) {
    const [sent] = getGrantRequests(arrive(state));
    if (sent !== undefined && sent.to !== state.host.id) return { state, sent };
  }
  throw new Error('no host requested a grant from another host');
}

describe('a request that waits for a grant', () => {
  // A request must not wait for the grant request timeout (10 s) when its owner is gone.
  it('is rerouted at once when the link to the owner closes, without a retry', () => {
    const { state, sent } = newRequestingHost();
    const event = { type: 'linkClosed' as const, host: sent.to, reason: 'ended' };
    const [again] = getGrantRequests(reduce(state, event, 10));
    expect(again?.to).not.toBe(sent.to);
    const request = state.requests.inFlight.get('r');
    expect(request).toMatchObject({
      phase: 'awaitingOwner',
      attempts: 0,
      grantRequestNumber: sent.message.ask + 1,
    });
    expect(request?.excluded.size).toBe(0);
    expect(state.engines.views.get(sent.message.engine)?.sentSinceReport).toBe(0);
  });

  it('stays where it is when another link closes', () => {
    const { state, sent } = newRequestingHost();
    const [other] = [...state.membership.linkedHosts].filter((host) => host !== sent.to);
    const event = { type: 'linkClosed' as const, host: other ?? '', reason: 'ended' };
    expect(getGrantRequests(reduce(state, event, 10))).toEqual([]);
  });

  // A change of owner alone must not exclude the engine from the request.
  it('goes to the new owner of the same engine and excludes the engine after 3 refusals', () => {
    const { state, sent } = newRequestingHost();
    const { engine } = sent.message;
    let current: GrantRequestEffect | undefined = sent;
    const engines: string[] = [];
    for (let now = 10; engines.length < 4 && current !== undefined; now += 5_000) {
      engines.push(current.message.engine);
      const { request, ask } = current.message;
      const message = { request, ask, engine: current.message.engine, reason: 'notOwner' as const };
      const refused = { type: 'grantRefused' as const, ...message };
      reduce(state, { type: 'messageReceived', from: current.to, message: refused }, now);
      [current] = getGrantRequests(reduce(state, { type: 'tick' }, now + 2_000));
    }
    expect(engines.slice(0, 3)).toEqual([engine, engine, engine]);
    expect(engines[3]).not.toBe(engine);
  });
});

/** Returns a host without links whose only engine is owned by `h1` in another, large zone. */
function newHostWithRemoteOwner(): State {
  const [state] = newLinkedHosts({ hosts: 1, engines: 1, zone: 'far', owners: ['h1'] });
  if (state === undefined) throw new Error('newLinkedHosts returned no host');
  for (let index = 1; index <= MAX_FULL_MESH_HOSTS + 1; index++) {
    const host = `h${index}`;
    state.membership.hosts.set(host, {
      ...{ host, zone: 'far', region: 'r', address: `${host}:1`, incarnation: 1 },
      ...{ revision: 1, state: 'live', protocol: 1, configurationRevision: 1 },
    });
  }
  return state;
}

describe('an owner in another zone outside the full mesh', () => {
  // In a large deployment, engines of other zones must stay reachable without a full mesh.
  it('is linked before a grant is requested from it', () => {
    const state = newHostWithRemoteOwner();
    expect(arrive(state)).toContainEqual({ type: 'openLink', host: 'h1', address: 'h1:1' });
    const [sent] = getGrantRequests(reduce(state, { type: 'linkOpened', host: 'h1' }, 40));
    expect(sent?.to).toBe('h1');
    expect(state.membership.onDemandUntil.has('h1')).toBe(true);
  });

  it('fails the request when the link does not open', () => {
    const state = newHostWithRemoteOwner();
    arrive(state);
    const effects = reduce(state, { type: 'tick' }, LINK_OPEN_TIMEOUT_MS + 1);
    expect(effects).toMatchObject([
      {},
      { type: 'failRequest', failure: { kind: 'adapter_unavailable', outcome: 'not_run' } },
    ]);
  });
});
