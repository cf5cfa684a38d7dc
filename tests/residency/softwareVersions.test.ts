import { describe, expect, it } from 'vitest';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';

const ENGINE = { id: 'e0', service: 'llm', models: ['base'], softwareVersion: 'v1', startedAt: 1 };
const BATCH = 4;
const WATCH_INTERVAL_MS = 500;

/** Asks the owner for a reservation; returns its answers to the requesting host. */
function ask(host: DirectoryHost, request: string, softwareVersion: string | undefined) {
  host.takeAllEffects();
  host.receiveMessage('h1', {
    type: 'placeAsked',
    request,
    ask: 1,
    engine: 'e0',
    adapter: '',
    version: 0,
    softwareVersion,
    promptTokens: 100,
    outputTokens: 10,
    remainingMs: 5_000,
    goalMs: 1_000,
  });
  return host.takeMessages('h1');
}

// Guards against reservations for streams of another software version, also after a wait in the queue.
describe('the owner of an engine', () => {
  it.each<[string, string | undefined, object]>([
    ['grants a reservation of its version', 'v1', { type: 'placeGiven', startedAt: 1 }],
    ['grants a reservation of any version', undefined, { type: 'placeGiven', startedAt: 1 }],
    ['refuses one of another version', 'v2', { type: 'placeRefused', reason: 'otherSoftware' }],
  ])('%s', (_name, softwareVersion, answer) => {
    const host = DirectoryHost.create().configure({ endpoints: [ENGINE] });
    expect(ask(host, 'r1', softwareVersion)).toMatchObject([answer]);
  });

  it('refuses a queued reservation once the engine has restarted with another version', () => {
    const host = DirectoryHost.create().configure({ endpoints: [ENGINE] });
    for (let index = 0; index < BATCH; index++) ask(host, `full${index}`, undefined);
    expect(ask(host, 'r1', 'v1')).toMatchObject([{ type: 'placeQueued' }]);
    const endpoint = newEndpoint({ ...ENGINE, startedAt: 2, softwareVersion: 'v2' });
    host.answerDirectoryCall(
      'endpoints',
      [newDirectoryChange('e0', 50, { type: 'endpoint', endpoint })],
      50,
    );
    host.advance(WATCH_INTERVAL_MS);
    expect(host.takeMessages('h1')).toContainEqual(
      expect.objectContaining({ type: 'placeRefused', request: 'r1', reason: 'otherSoftware' }),
    );
  });
});

describe('a host', () => {
  it.each<[string, number, boolean]>([
    ['resumes a stream under a reservation', 1, true],
    ['resumes no stream under a reservation for another start of the engine', 2, false],
  ])('%s', (_name, startedAt, isSent) => {
    const host = DirectoryHost.create().configure({
      routes: [{ kind: 'stream', isResumable: true, targets: [{ service: 'llm', weight: 1 }] }],
      endpoints: [ENGINE],
      members: [{ host: 'h1' }],
    });
    host.dispatch({ type: 'linkOpened', host: 'h1' });
    const stream = { attempt: 'a1', fingerprint: 'p1', service: 'llm', softwareVersion: 'v1' };
    const record = { ...stream, remainingMs: 5_000 };
    host.receiveMessage('h1', { type: 'streamsRecorded', streams: [record] });
    host.takeAllEffects();
    host.receiveForward({ labels: { attemptId: 'b1', model: 'base', resumedAttempt: 'a1' } });
    const [asked] = host.takeMessages('h1');
    if (asked?.type !== 'placeAsked') throw new Error('no reservation was requested');
    expect(asked.softwareVersion).toBe('v1');
    const grant = { type: 'placeGiven', engine: 'e0', stallMs: 0, version: undefined } as const;
    const { request, ask: number } = asked;
    host.receiveMessage('h1', { ...grant, request, ask: number, startedAt });
    expect(host.takeEffects('sendForward')).toHaveLength(isSent ? 1 : 0);
  });

  // Guards against streams that begin on another version than the one that hosts without records derive.
  it.each<[string, string, number, boolean]>([
    ['begins a stream at the engine that it asked for', 'e0', 1, true],
    ['begins none at another start of the engine', 'e0', 2, false],
    ['begins none at an engine of another version to which the owner moved it', 'e1', 1, false],
  ])('%s', (_name, engine, startedAt, isSent) => {
    const host = DirectoryHost.create().configure({
      routes: [{ kind: 'stream', isResumable: true, targets: [{ service: 'llm', weight: 1 }] }],
      endpoints: [ENGINE, { ...ENGINE, id: 'e1', softwareVersion: 'v2' }],
      members: [{ host: 'h1' }],
    });
    const shares = ['v1', 'v2'].map((version) => ({ version, share: 0.5 }));
    const row = { services: [{ service: 'llm', splits: [{ since: 0, shares }] }] };
    const change = newDirectoryChange('versionSplits', 30, { type: 'versionSplits', row });
    host.answerDirectoryCall('members', [change], 30, false, 1_000_000);
    host.dispatch({ type: 'linkOpened', host: 'h1' });
    const asked = Array.from({ length: 20 }, (_, index) => {
      host.takeAllEffects();
      host.receiveForward({ id: `f${index}`, labels: { attemptId: `b${index}`, model: 'base' } });
      return host.takeMessages('h1').find((message) => message.type === 'placeAsked');
    }).find((message) => message?.engine === 'e0');
    if (asked === undefined) throw new Error('no reservation was requested');
    const grant = { type: 'placeGiven', engine, stallMs: 0, version: undefined } as const;
    const { request, ask: number } = asked;
    host.receiveMessage('h1', { ...grant, request, ask: number, startedAt });
    expect(host.takeEffects('sendForward')).toHaveLength(isSent ? 1 : 0);
  });
});
