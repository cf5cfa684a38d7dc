import { describe, expect, it } from 'vitest';
import { PROBE_INTERVAL_MS } from '../../src/paths/constants.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

const SILENT_MS = 400;

/** A host with two endpoints, a linked host, and a request that waits at one of them. */
function createHost(): DirectoryHost {
  const host = DirectoryHost.create().configure({
    endpoints: [{}, {}],
    members: [{ host: 'h0' }, { host: 'h1' }],
  });
  host.dispatch({ type: 'linkOpened', host: 'h1' }).receiveForward().takeAllEffects();
  return host;
}

function fallSilent(host: DirectoryHost): DirectoryHost {
  return host.dispatch({ type: 'pathSilent', relay: undefined, silentMs: SILENT_MS });
}

function probe(host: DirectoryHost, endpoint: string, isAnswered: boolean): DirectoryHost {
  return host.dispatch({ type: 'endpointProbed', endpoint, isAnswered });
}

/** Returns the host that relays a new request; undefined for a direct connection. */
function getRelay(host: DirectoryHost): string | undefined {
  host.takeAllEffects();
  host.receiveForward({ id: 'f2', fingerprint: 'p2', labels: { attemptId: 'a2' } });
  return host.takeEffects('sendForward')[0]?.spec.relay?.host;
}

describe('a host to which no endpoint sends anything', () => {
  it.each<[string, boolean | undefined, string | undefined]>([
    ['sends directly until a probe has ended', undefined, undefined],
    ['sends directly while an endpoint answers a probe', true, undefined],
    ['sends through another host once an endpoint answers none', false, 'h1'],
  ])('%s', (_name, isAnswered, relay) => {
    const host = fallSilent(createHost());
    const [probed] = host.takeEffects('probeEndpoint');
    if (probed === undefined) throw new Error('no endpoint was probed');
    if (isAnswered !== undefined) probe(host, probed.endpoint, isAnswered);
    expect(getRelay(host)).toBe(relay);
  });

  it('probes no more for the silence of paths that are lost', () => {
    const host = fallSilent(createHost());
    for (const endpoint of ['e0', 'e1', 'e0', 'e1']) probe(host, endpoint, false);
    host.takeAllEffects();
    expect(fallSilent(host).takeEffects('probeEndpoint')).toEqual([]);
  });

  it('sends directly again once each endpoint has answered a probe', () => {
    const host = fallSilent(createHost());
    for (const endpoint of ['e0', 'e1', 'e0', 'e1']) probe(host, endpoint, false);
    expect(getRelay(host)).toBe('h1');
    host.takeAllEffects();
    const [next] = host.advance(PROBE_INTERVAL_MS).takeEffects('probeEndpoint');
    if (next === undefined) throw new Error('no endpoint was probed');
    const [last] = probe(host, next.endpoint, true).takeEffects('probeEndpoint');
    if (last === undefined) throw new Error('only one endpoint was probed');
    expect(last.endpoint).not.toBe(next.endpoint);
    probe(host, last.endpoint, true);
    host.takeAllEffects();
    host.receiveForward({ id: 'f3', fingerprint: 'p3', labels: { attemptId: 'a3' } });
    expect(host.takeEffects('sendForward')[0]?.spec.relay).toBeUndefined();
  });
});
