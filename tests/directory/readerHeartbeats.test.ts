import { describe, expect, it } from 'vitest';
import {
  WATCH_ANSWER_SLACK_MS,
  READER_HEARTBEAT_TIMEOUT_MS,
  FOLLOWER_WATCH_WAIT_MS,
  READER_HEARTBEAT_INTERVAL_MS,
  MAX_WATCH_PAUSE_MS,
  READER_WATCH_PAUSE_MS,
  READER_WATCH_WAIT_MS,
} from '../../src/directory/constants.ts';
import { getFollowers, isReader } from '../../src/directory/group.ts';
import type { Topic } from '../../src/directory/types.ts';
import { DirectedHost, newChange, newEndpoint, newRow } from '../helpers/directed.ts';

const IDS = ['h0', 'h1', 'h2', 'h3'];

/** Hosts of one group, linked with each other, by whether they read for it. */
function createGroup() {
  const hosts = IDS.map((id) => {
    const host = DirectedHost.create(id);
    host.setUp({ members: IDS.map((member) => ({ host: member })), endpoints: [{ id: 'e0' }] });
    for (const other of IDS) if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
    host.take('sendMessage');
    return host;
  });
  const readers = hosts.filter(({ state }) => isReader(state));
  const listeners = hosts.filter(({ state }) => !isReader(state));
  return { readers, listeners };
}

function getFirst<T>(items: readonly T[]): T {
  const [first] = items;
  if (first === undefined) throw new Error('the group has none');
  return first;
}

/** Has a reader tell that it is in touch, and up to which versions it told. */
function feed(host: DirectedHost, told = [1, 10, 20]): DirectedHost {
  return host.receive('reader', { type: 'directoryFed', told, regainedMs: 60_000 });
}

/** Lets time pass while the reader goes on telling that it is in touch. */
function advanceFed(host: DirectedHost, ms: number): void {
  for (let waited = 0; waited < ms; waited += READER_HEARTBEAT_INTERVAL_MS)
    feed(host.advance(READER_HEARTBEAT_INTERVAL_MS));
}

function getWatches(host: DirectedHost, topic: Topic): number[] {
  return host
    .take('watchTopic')
    .filter((effect) => effect.topic === topic)
    .map(({ waitMs }) => waitMs);
}

describe('the reader of a group', () => {
  it('is one, and tells all others', () => {
    const { readers, listeners } = createGroup();
    const ids = listeners.map(({ state }) => state.host.id);
    expect(readers.map(({ state }) => getFollowers(state).sort())).toEqual([ids.sort()]);
  });

  // Engines write their entries with each order; 82 hosts that watched them made 13,600 calls a day.
  it('passes on what other hosts need of an entry, and not what orders change', () => {
    const { readers, listeners } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(listeners).state.host.id;
    const told = (version: number, change: object) => {
      const endpoint = newEndpoint({ id: 'e0', ...change });
      reader.answer(
        'endpoints',
        [newChange('e0', version, { type: 'endpoint', endpoint })],
        version,
      );
      const messages = reader.takeMessages(to).filter(({ type }) => type === 'topicTold');
      reader.advance(READER_WATCH_PAUSE_MS);
      return messages.length;
    };
    expect(told(11, { sequence: 5, adapters: [{ adapter: 'base/a1' }] })).toBe(0);
    expect(told(12, { sequence: 6, isLeaving: true })).toBe(1);
  });

  it('watches endpoints at a steady pace whether they change or not', () => {
    const reader = getFirst(createGroup().readers);
    reader.take('watchTopic');
    for (let round = 0; round < 5; round++) {
      reader.answer('endpoints', [], 10 + round);
      expect(getWatches(reader, 'endpoints')).toEqual([]);
      reader.advance(READER_WATCH_PAUSE_MS);
      expect(getWatches(reader, 'endpoints')).toEqual([READER_WATCH_WAIT_MS]);
    }
  });

  it('tells hosts that ask of what a read did not contain any more', () => {
    const { readers, listeners } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(listeners).state.host.id;
    const { call } = reader.state.directory.topics.endpoints;
    const answer = { type: 'historyLost' as const };
    reader.dispatch({ type: 'directoryAnswered', topic: 'endpoints', call, isRead: false, answer });
    reader.answer('endpoints', [], 40, true).takeAll();
    reader.receive(to, { type: 'topicAsked', topic: 'endpoints', after: 10 });
    expect(reader.takeMessages(to)).toMatchObject([
      { type: 'topicTold', after: 10, upTo: 40, changes: [{ content: { type: 'removed' } }] },
    ]);
  });

  it('is silent once the directory does not answer it', () => {
    const { readers, listeners } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(listeners).state.host.id;
    reader.answer('endpoints', [], 11).advance(READER_WATCH_PAUSE_MS);
    reader.takeAll();
    reader.advance(READER_WATCH_WAIT_MS + WATCH_ANSWER_SLACK_MS + 1).takeAll();
    reader.advance(3 * READER_HEARTBEAT_INTERVAL_MS);
    expect(reader.takeMessages(to)).toEqual([]);
  });
});

describe('a host that a reader tells of changes', () => {
  it('does not watch endpoints, and waits long for the other topics', () => {
    const listener = getFirst(createGroup().listeners);
    feed(listener).answer('endpoints', [], 11).answer('operator', [], 11);
    expect(listener.take('watchTopic')).toMatchObject([
      { topic: 'operator', waitMs: FOLLOWER_WATCH_WAIT_MS },
    ]);
    advanceFed(listener, 5_000);
    expect(getWatches(listener, 'endpoints')).toEqual([]);
  });

  // A reader that is frozen or cut off would leave the hosts of its group with old endpoints.
  it('watches itself as soon as the reader is not in touch, and gives up its long waits', () => {
    const listener = getFirst(createGroup().listeners);
    feed(listener).answer('endpoints', [], 11).answer('operator', [], 11);
    listener.takeAll();
    listener.advance(READER_HEARTBEAT_TIMEOUT_MS + READER_HEARTBEAT_INTERVAL_MS);
    expect(listener.take('watchTopic').map(({ topic }) => topic)).toEqual(
      expect.arrayContaining(['operator', 'endpoints']),
    );
  });

  // A new reader that claimed to continue from what it had watched long ago hid from others what they
  // had missed of its predecessor.
  it('continues as a reader from what it was told', () => {
    const listener = getFirst(createGroup().listeners);
    feed(listener);
    const changes = [
      newChange('e1', 15, { type: 'endpoint', endpoint: newEndpoint({ id: 'e1' }) }),
    ];
    const told = { type: 'topicTold', topic: 'endpoints', after: 10, upTo: 15, changes } as const;
    listener.receive('reader', told);
    expect(listener.state.directory.topics.endpoints.announcedVersion).toBe(15);
  });

  it('watches itself when it becomes a reader', () => {
    const listener = getFirst(createGroup().listeners);
    feed(listener).answer('endpoints', [], 11).takeAll();
    for (const id of IDS.filter((other) => other !== listener.state.host.id)) {
      listener.dispatch({ type: 'linkClosed', host: id, reason: 'reset' });
    }
    feed(listener).advance(READER_HEARTBEAT_INTERVAL_MS);
    expect(getWatches(listener, 'endpoints')).toHaveLength(1);
  });

  it('asks for changes that did not arrive', () => {
    const listener = getFirst(createGroup().listeners);
    listener.takeAll();
    feed(listener, [1, 15, 20]);
    expect(listener.takeMessages('reader')).toEqual([
      { type: 'topicAsked', topic: 'endpoints', after: 10 },
    ]);
  });

  // One lost message hid the removal of an engine for the whole day behind the next ones.
  it('asks for changes before those that it was told', () => {
    const listener = getFirst(createGroup().listeners);
    const changes = [newChange('e9', 15, { type: 'removed' })];
    const told = { type: 'topicTold', topic: 'endpoints', after: 12, upTo: 15, changes } as const;
    listener.receive('reader', told).takeAll();
    feed(listener, [1, 15, 20]);
    const asked = { type: 'topicAsked', topic: 'endpoints', after: 10 };
    expect(listener.takeMessages('reader')).toEqual([asked]);
    listener.receive('reader', { ...told, after: 10 });
    expect(feed(listener, [1, 15, 20]).takeMessages('reader')).toEqual([]);
  });

  it('keeps a lapsed endpoint for a while when its reader just regained the directory', () => {
    const listener = getFirst(createGroup().listeners);
    listener.receive('reader', { type: 'directoryFed', told: [1, 10, 20], regainedMs: 100 });
    const changes = [newChange('e0', 30, { type: 'removed' })];
    listener.receive('reader', {
      type: 'topicTold',
      topic: 'endpoints',
      after: 10,
      upTo: 30,
      changes,
    });
    expect(listener.state.fleet.views.get('e0')?.isRemoved).toBe(false);
  });
});

describe('watches of members', () => {
  // 82 hosts that started together made 82 changes, which each of them watched one by one.
  it('pause longer while members keep changing', () => {
    const host = DirectedHost.create().setUp({});
    host.takeAll();
    let calls = 0;
    for (let epoch = 2; epoch < 60; epoch++) {
      if (host.state.directory.topics.members.isCallInFlight) {
        const row = newRow(epoch, [{ host: 'h0' }, { host: `h${epoch}` }]);
        host.answer('members', [newChange('members', 20 + epoch, { type: 'members', row })], epoch);
      }
      host.advance(100);
      calls += getWatches(host, 'members').length;
    }
    expect(calls).toBeGreaterThan(5_800 / MAX_WATCH_PAUSE_MS - 2);
    expect(calls).toBeLessThan(16);
  });
});
