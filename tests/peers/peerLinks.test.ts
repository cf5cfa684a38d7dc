import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import type { Message } from '../../src/core/messages.ts';
import { encodeFrame, FRAME_KIND, FrameReader } from '../../src/peers/frames.ts';
import { getSharedProtocolVersion, type Hello } from '../../src/peers/hello.ts';
import { PeerLinks, type PeerEvent } from '../../src/peers/peerLinks.ts';
import { SilencingProxy } from '../helpers/silencingProxy.ts';

const stops: (() => Promise<void>)[] = [];
const wait = { timeout: 20_000, interval: 20 };
const message: Message = {
  type: 'grantReleased',
  request: 'r',
  engine: 'e',
  grant: '',
  result: 'unused',
};

afterEach(async () => {
  for (const stop of stops.splice(0)) await stop();
});

async function newHost(id: string, incarnation = 1) {
  const events: PeerEvent[] = [];
  const links = PeerLinks.create({
    identity: { id, zone: 'z', region: 'r', address: '127.0.0.1:0', incarnation },
    listen: { host: '127.0.0.1', port: 0 },
    onEvent: (event) => events.push(event),
  });
  const port = await links.start();
  stops.push(() => links.stop());
  const types = () => events.map(({ type }) => type);
  return { links, events, types, address: `127.0.0.1:${port}`, port };
}

function newHello(fields: Partial<Hello> = {}): Hello {
  const hello = { host: 'x', incarnation: 1, zone: 'z', address: '127.0.0.1:1' };
  return { ...hello, protocol: 1, minProtocol: 1, ...fields };
}

describe('peer links', () => {
  it('keep one link when both hosts dial at once, and carry messages both ways', async () => {
    const [a, b] = [await newHost('a'), await newHost('b')];
    a.links.open('b', b.address);
    b.links.open('a', a.address);
    await vi.waitFor(
      () => expect([a.types(), b.types()]).toEqual([['linkOpened'], ['linkOpened']]),
      wait,
    );
    await vi.waitFor(() => {
      expect(a.links.send('b', message)).toBe(true);
      expect(b.links.send('a', message)).toBe(true);
      expect(a.events).toContainEqual({ type: 'messageReceived', from: 'b', message });
      expect(b.events).toContainEqual({ type: 'messageReceived', from: 'a', message });
    }, wait);
    expect(a.types()).not.toContain('linkClosed');
    expect(b.types()).not.toContain('linkClosed');
  });

  it('replace a connection that stops carrying data while new connections work', async () => {
    const [a, b] = [await newHost('a'), await newHost('b')];
    const proxy = await SilencingProxy.create(b.port);
    stops.push(() => proxy.stop());
    a.links.open('b', `127.0.0.1:${proxy.port}`);
    await vi.waitFor(() => expect(a.types()).toEqual(['linkOpened']), wait);
    // From here on only a new connection, dialled by either host, can carry a message.
    proxy.silenceConnections();
    await vi.waitFor(() => {
      a.links.send('b', message);
      expect(b.types()).toContain('messageReceived');
    }, wait);
    expect(a.types()).not.toContain('linkClosed');
  });

  it('are not open while the bytes of this host do not reach the peer', async () => {
    const a = await newHost('a');
    // A peer that sends its hello and receives nothing, so that it never sends more.
    const deaf = connect(a.port, '127.0.0.1');
    stops.push(() => Promise.resolve(void deaf.destroy()));
    deaf.write(encodeFrame(FRAME_KIND.hello, newHello({ host: 'b' })));
    await vi.waitFor(() => expect(a.links.counters.receivedBytes).toBeGreaterThan(0), wait);
    await sleep(300);
    expect(a.types()).toEqual([]);
    expect(a.links.send('b', message)).toBe(false);
    deaf.write(encodeFrame(FRAME_KIND.heartbeat, 0));
    await vi.waitFor(() => expect(a.types()).toEqual(['linkOpened']), wait);
  });

  it('report a stopped peer as refused, and a restarted one as opened again', async () => {
    const [a, b] = [await newHost('a'), await newHost('b')];
    a.links.open('b', b.address);
    await vi.waitFor(() => expect(a.types()).toEqual(['linkOpened']), wait);
    await b.links.stop();
    await vi.waitFor(
      () => expect(a.events.at(-1)).toEqual({ type: 'linkClosed', host: 'b', reason: 'refused' }),
      wait,
    );
    const restarted = await newHost('b', 2);
    restarted.links.open('a', a.address);
    await vi.waitFor(() => expect(a.types().at(-1)).toBe('linkOpened'), wait);
  });

  it.each([
    {
      name: 'an unknown message',
      frame: encodeFrame(FRAME_KIND.message, { type: 'later' }),
      counter: 'malformed',
    },
    {
      name: 'bytes that are not CBOR',
      frame: Buffer.from([0, 0, 0, 1, 0xff]),
      counter: 'malformed',
    },
    { name: 'a frame over the limit', frame: Buffer.from([0xff, 0, 0, 0]), counter: 'refused' },
  ] as const)('count and drop $name', async ({ frame, counter }) => {
    const a = await newHost('a');
    const socket = connect(a.port, '127.0.0.1');
    stops.push(() => Promise.resolve(void socket.destroy()));
    socket.write(encodeFrame(FRAME_KIND.hello, newHello()));
    socket.write(frame);
    await vi.waitFor(() => expect(a.links.counters[counter]).toBe(1), wait);
    expect(a.types()).not.toContain('messageReceived');
  });

  it('accept a hello and a message with fields of a newer version', async () => {
    const a = await newHost('a');
    const socket = connect(a.port, '127.0.0.1');
    stops.push(() => Promise.resolve(void socket.destroy()));
    socket.write(encodeFrame(FRAME_KIND.hello, { ...newHello({ protocol: 7 }), color: 'x' }));
    socket.write(encodeFrame(FRAME_KIND.message, { ...message, color: 'x' }));
    await vi.waitFor(
      () => expect(a.events.at(-1)).toEqual({ type: 'messageReceived', from: 'x', message }),
      wait,
    );
    expect(a.links.getProtocolVersion('x')).toBe(1);
  });
});

describe('the protocol range', () => {
  it.each([
    { peer: { protocol: 3, minProtocol: 2 }, own: { protocol: 2, minProtocol: 1 }, shared: 2 },
    { peer: { protocol: 1, minProtocol: 1 }, own: { protocol: 3, minProtocol: 1 }, shared: 1 },
    {
      peer: { protocol: 4, minProtocol: 3 },
      own: { protocol: 2, minProtocol: 1 },
      shared: undefined,
    },
  ])('$peer against $own shares $shared', ({ peer, own, shared }) => {
    expect(getSharedProtocolVersion(newHello(peer), own)).toBe(shared);
  });
});

describe('the frame reader', () => {
  it('finds the same frames for every chunk size', () => {
    const bytes = Buffer.concat(
      [1, 2, 3].map((n) => encodeFrame(FRAME_KIND.message, 'x'.repeat(n * 40))),
    );
    const expected = FrameReader.create().push(bytes, 1000)?.length;
    for (let chunkSize = 1; chunkSize < bytes.length; chunkSize++) {
      const reader = FrameReader.create();
      let found = 0;
      for (let at = 0; at < bytes.length; at += chunkSize) {
        found += reader.push(bytes.subarray(at, at + chunkSize), 1000)?.length ?? -100;
      }
      expect(found).toBe(expected);
    }
  });
});
