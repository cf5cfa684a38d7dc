import { describe, expect, it } from 'vitest';
import type { EndpointNotice } from '../../src/notices/types.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';
import { newNotice } from '../helpers/notices.ts';

const NOTICES: [string, Partial<EndpointNotice>][] = [
  ['leaves', { leaving: { type: 'leaving' } }],
  ['wants no requests for a time', { pause: { type: 'pause', ms: 5_000 } }],
];
const STREAM = {
  kind: 'stream' as const,
  isResumable: true,
  attempts: 2,
  timeoutMs: 10_000,
  targets: [{ service: 'llm', weight: 1 }],
};

function say(host: DirectoryHost, endpoint: string, said: Partial<EndpointNotice>): void {
  const notice = newNotice(said);
  host.dispatch({ type: 'noticeRead', endpoint, startedAt: 1, sentAt: host.now, notice });
}

function getSent(host: DirectoryHost): string[] {
  return host.takeEffects('sendForward').map(({ spec }) => spec.endpoint);
}

describe.each(NOTICES)('when an endpoint %s', (_name, said) => {
  it('a request that waits at the owner of the engine goes to another one, a late grant included', () => {
    const host = DirectoryHost.create().configure({
      routes: [STREAM],
      endpoints: ['e0', 'e1'].map((id) => ({ id, service: 'llm', models: ['base'] })),
      members: [
        { host: 'h0', isOwner: false },
        { host: 'h1', isOwner: true },
      ],
    });
    host.dispatch({ type: 'linkOpened', host: 'h1' }).takeAllEffects();
    host.receiveForward({ labels: { model: 'base', promptTokens: 10, outputTokens: 10 } });
    const getAsked = () =>
      host
        .takeMessages('h1')
        .flatMap((message) => (message.type === 'placeAsked' ? [message] : []));
    const [asked] = getAsked();
    if (asked === undefined) throw new Error('no reservation was requested');
    say(host, asked.engine, said);
    const [second] = getAsked();
    expect(second?.engine).toBe(asked.engine === 'e0' ? 'e1' : 'e0');
    const { request, ask, engine } = asked;
    host.receiveMessage('h1', { type: 'placeGiven', request, ask, engine, stallMs: 0 });
    expect(getSent(host)).toEqual([]);
  });

  it('a grant that arrives after it is returned', () => {
    const host = DirectoryHost.create().configure({
      routes: [STREAM],
      endpoints: [{ id: 'e0', service: 'llm', models: ['base'] }],
      members: [
        { host: 'h0', isOwner: false },
        { host: 'h1', isOwner: true },
      ],
    });
    host.dispatch({ type: 'linkOpened', host: 'h1' }).takeAllEffects();
    host.receiveForward({ labels: { model: 'base', promptTokens: 10, outputTokens: 10 } });
    host.takeAllEffects();
    say(host, 'e0', said);
    // No other engine is left, so the request is refused at once.
    expect(host.takeEffects('failForward')[0]?.failure.kind).toBe('overloaded');
    const grant = { type: 'placeGiven' as const, request: 'f1', ask: 1, engine: 'e0', stallMs: 0 };
    host.receiveMessage('h1', grant);
    expect(host.takeMessages('h1').map(({ type }) => type)).toEqual(['placeReleased']);
  });

  it('a stream that its caller resumes is not sent there', () => {
    const host = DirectoryHost.create().configure({
      routes: [{ ...STREAM, targets: [{ service: 'desk', weight: 1 }] }],
      endpoints: [
        { id: 'e0', softwareVersion: 'v1' },
        { id: 'e1', softwareVersion: 'v2' },
      ],
    });
    const stream = { attempt: 'a1', fingerprint: 'p1', service: 'desk', softwareVersion: 'v1' };
    const streams = [{ ...stream, remainingMs: 9_000 }];
    host.receiveMessage('h1', { type: 'streamsRecorded', streams });
    say(host, 'e0', said);
    host.takeAllEffects();
    host.receiveForward({ labels: { resumedAttempt: 'a1', hasLastEventId: true } });
    host.advance(500);
    expect(getSent(host)).toEqual([]);
  });

  it('a stream that breaks there goes on elsewhere', () => {
    const host = DirectoryHost.create().configure({
      routes: [{ ...STREAM, targets: [{ service: 'desk', weight: 1 }] }],
      endpoints: [{ id: 'e0' }, { id: 'e1' }],
    });
    host.receiveForward({});
    const [sent] = host.takeEffects('sendForward');
    if (sent === undefined) throw new Error('the request was not sent');
    const { attempt, endpoint } = sent.spec;
    host.dispatch({ type: 'forwardStarted', id: 'f1', attempt });
    say(host, endpoint, said);
    const outcome = { type: 'broken' as const, reason: 'reset', lastEventId: '3' };
    host.dispatch({ type: 'forwardEnded', id: 'f1', attempt, outcome });
    expect(getSent(host)).toEqual([endpoint === 'e0' ? 'e1' : 'e0']);
  });

  it('a request that fails elsewhere is not repeated there', () => {
    const host = DirectoryHost.create().configure({ endpoints: [{ id: 'e0' }, { id: 'e1' }] });
    host.receiveForward({});
    const [sent] = host.takeEffects('sendForward');
    if (sent === undefined) throw new Error('the request was not sent');
    const { attempt, endpoint } = sent.spec;
    const other = endpoint === 'e0' ? 'e1' : 'e0';
    say(host, other, said);
    const outcome = { type: 'answered' as const, status: 500 };
    host.dispatch({ type: 'forwardEnded', id: 'f1', attempt, outcome });
    host.advance(1_500);
    expect(getSent(host)).not.toContain(other);
  });
});
