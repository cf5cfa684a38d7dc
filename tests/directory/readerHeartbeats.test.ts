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
import {
  DirectoryHost,
  newDirectoryChange,
  newEndpoint,
  newMembersRow,
} from '../helpers/directoryHost.ts';

const IDS = ['h0', 'h1', 'h2', 'h3'];

/** Creates the hosts of one group, linked with each other: its readers and its followers. */
function createGroup() {
  const hosts = IDS.map((id) => {
    const host = DirectoryHost.create(id);
    host.configure({ members: IDS.map((member) => ({ host: member })), endpoints: [{ id: 'e0' }] });
    for (const other of IDS) if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
    host.takeEffects('sendMessage');
    return host;
  });
  const readers = hosts.filter(({ state }) => isReader(state));
  const followers = hosts.filter(({ state }) => !isReader(state));
  return { readers, followers };
}

function getFirst<T>(items: readonly T[]): T {
  const [first] = items;
  if (first === undefined) throw new Error('the group has no such host');
  return first;
}

/** Delivers a reader heartbeat with the announced version of each topic. */
function sendHeartbeat(host: DirectoryHost, versions = [1, 10, 20]): DirectoryHost {
  return host.receiveMessage('reader', {
    type: 'directoryFed',
    told: versions,
    regainedMs: 60_000,
  });
}

/** Advances the time while the reader heartbeats continue. */
function advanceWithHeartbeats(host: DirectoryHost, ms: number): void {
  for (let waited = 0; waited < ms; waited += READER_HEARTBEAT_INTERVAL_MS)
    sendHeartbeat(host.advance(READER_HEARTBEAT_INTERVAL_MS));
}

function getWatches(host: DirectoryHost, topic: Topic): number[] {
  return host
    .takeEffects('watchTopic')
    .filter((effect) => effect.topic === topic)
    .map(({ waitMs }) => waitMs);
}

describe('the reader of a group', () => {
  it('is the only one, and has all other hosts as its followers', () => {
    const { readers, followers } = createGroup();
    const ids = followers.map(({ state }) => state.host.id);
    expect(readers.map(({ state }) => getFollowers(state).sort())).toEqual([ids.sort()]);
  });

  // Entries of engines change with each order: 82 hosts that all watched them made 13,600 calls a
  // day.
  it('announces changes that other hosts need, but not those that orders make to an entry', () => {
    const { readers, followers } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(followers).state.host.id;
    const countAnnouncements = (version: number, change: object) => {
      const endpoint = newEndpoint({ id: 'e0', ...change });
      reader.answerDirectoryCall(
        'endpoints',
        [newDirectoryChange('e0', version, { type: 'endpoint', endpoint })],
        version,
      );
      const messages = reader.takeMessages(to).filter(({ type }) => type === 'topicTold');
      reader.advance(READER_WATCH_PAUSE_MS);
      return messages.length;
    };
    expect(countAnnouncements(11, { sequence: 5, adapters: [{ adapter: 'base/a1' }] })).toBe(0);
    expect(countAnnouncements(12, { sequence: 6, isLeaving: true })).toBe(1);
  });

  it('watches endpoints at a steady rate whether they change or not', () => {
    const reader = getFirst(createGroup().readers);
    reader.takeEffects('watchTopic');
    for (let round = 0; round < 5; round++) {
      reader.answerDirectoryCall('endpoints', [], 10 + round);
      expect(getWatches(reader, 'endpoints')).toEqual([]);
      reader.advance(READER_WATCH_PAUSE_MS);
      expect(getWatches(reader, 'endpoints')).toEqual([READER_WATCH_WAIT_MS.endpoints]);
    }
  });

  it('sends on request the removals of keys that a read no longer contained', () => {
    const { readers, followers } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(followers).state.host.id;
    const { call } = reader.state.directory.topics.endpoints;
    const answer = { type: 'historyLost' as const, isRestored: false };
    reader.dispatch({ type: 'directoryAnswered', topic: 'endpoints', call, isRead: false, answer });
    reader.answerDirectoryCall('endpoints', [], 40, true).takeAllEffects();
    reader.receiveMessage(to, { type: 'topicAsked', topic: 'endpoints', after: 10 });
    expect(reader.takeMessages(to)).toMatchObject([
      { type: 'topicTold', after: 10, upTo: 40, changes: [{ content: { type: 'removed' } }] },
    ]);
  });

  // Guards against two hosts that take turns as the reader, as one starts its calls again at each heartbeat of the other.
  it('keeps its calls while another host sends it heartbeats too', () => {
    const reader = getFirst(createGroup().readers);
    advanceWithHeartbeats(reader, 3 * READER_HEARTBEAT_INTERVAL_MS);
    reader.takeAllEffects();
    advanceWithHeartbeats(reader, 3_000);
    expect(getWatches(reader, 'operator')).toEqual([]);
  });

  it('sends no heartbeats once the directory does not answer its watch', () => {
    const { readers, followers } = createGroup();
    const reader = getFirst(readers);
    const to = getFirst(followers).state.host.id;
    reader.answerDirectoryCall('endpoints', [], 11).advance(READER_WATCH_PAUSE_MS);
    reader.takeAllEffects();
    reader.advance(READER_WATCH_WAIT_MS.endpoints + WATCH_ANSWER_SLACK_MS + 1).takeAllEffects();
    reader.advance(3 * READER_HEARTBEAT_INTERVAL_MS);
    expect(reader.takeMessages(to)).toEqual([]);
  });
});

describe('a follower', () => {
  it('does not watch endpoints, and uses long waits for the other topics', () => {
    const follower = getFirst(createGroup().followers);
    sendHeartbeat(follower)
      .answerDirectoryCall('endpoints', [], 11)
      .answerDirectoryCall('operator', [], 11);
    expect(follower.takeEffects('watchTopic')).toMatchObject([
      { topic: 'operator', waitMs: FOLLOWER_WATCH_WAIT_MS },
    ]);
    advanceWithHeartbeats(follower, 5_000);
    expect(getWatches(follower, 'endpoints')).toEqual([]);
  });

  // Guards against a frozen or partitioned reader that leaves its followers with outdated
  // endpoints.
  it('watches the directory itself when the heartbeats stop, and abandons its long watches', () => {
    const follower = getFirst(createGroup().followers);
    sendHeartbeat(follower)
      .answerDirectoryCall('endpoints', [], 11)
      .answerDirectoryCall('operator', [], 11);
    follower.takeAllEffects();
    follower.advance(READER_HEARTBEAT_TIMEOUT_MS + READER_HEARTBEAT_INTERVAL_MS);
    expect(follower.takeEffects('watchTopic').map(({ topic }) => topic)).toEqual(
      expect.arrayContaining(['operator', 'endpoints']),
    );
  });

  // Guards against a new reader that announces from the version of its own last watch, long ago:
  // other hosts did not notice which announcements of its predecessor they had missed.
  it('announces as a new reader from the version that was announced to it', () => {
    const follower = getFirst(createGroup().followers);
    sendHeartbeat(follower);
    const changes = [
      newDirectoryChange('e1', 15, { type: 'endpoint', endpoint: newEndpoint({ id: 'e1' }) }),
    ];
    const announcement = {
      type: 'topicTold',
      topic: 'endpoints',
      after: 10,
      upTo: 15,
      changes,
    } as const;
    follower.receiveMessage('reader', announcement);
    expect(follower.state.directory.topics.endpoints.announcedVersion).toBe(15);
  });

  it('watches the directory itself when it becomes a reader', () => {
    const follower = getFirst(createGroup().followers);
    sendHeartbeat(follower).answerDirectoryCall('endpoints', [], 11).takeAllEffects();
    for (const id of IDS.filter((other) => other !== follower.state.host.id)) {
      follower.dispatch({ type: 'linkClosed', host: id, reason: 'reset' });
    }
    sendHeartbeat(follower).advance(READER_HEARTBEAT_INTERVAL_MS);
    expect(getWatches(follower, 'endpoints')).toHaveLength(1);
  });

  it('requests announced changes that did not arrive', () => {
    const follower = getFirst(createGroup().followers);
    follower.takeAllEffects();
    sendHeartbeat(follower, [1, 15, 20]);
    expect(follower.takeMessages('reader')).toEqual([
      { type: 'topicAsked', topic: 'endpoints', after: 10, isWhole: false },
    ]);
  });

  // Guards against a lost message that later ones conceal: one hid the removal of an engine for a
  // whole day.
  it('requests missing changes that precede the announced ones', () => {
    const follower = getFirst(createGroup().followers);
    const changes = [newDirectoryChange('e9', 15, { type: 'removed' })];
    const announcement = {
      type: 'topicTold',
      topic: 'endpoints',
      after: 12,
      upTo: 15,
      changes,
    } as const;
    follower.receiveMessage('reader', announcement).takeAllEffects();
    sendHeartbeat(follower, [1, 15, 20]);
    const request = { type: 'topicAsked', topic: 'endpoints', after: 10, isWhole: false };
    expect(follower.takeMessages('reader')).toEqual([request]);
    follower.receiveMessage('reader', { ...announcement, after: 10 });
    expect(sendHeartbeat(follower, [1, 15, 20]).takeMessages('reader')).toEqual([]);
  });

  it('keeps an endpoint whose entry was removed just after the directory of the reader recovered', () => {
    const follower = getFirst(createGroup().followers);
    follower.receiveMessage('reader', { type: 'directoryFed', told: [1, 10, 20], regainedMs: 100 });
    const changes = [newDirectoryChange('e0', 30, { type: 'removed' })];
    follower.receiveMessage('reader', {
      type: 'topicTold',
      topic: 'endpoints',
      after: 10,
      upTo: 30,
      changes,
    });
    expect(follower.state.fleet.views.get('e0')?.isRemoved).toBe(false);
  });
});

describe('watches of members', () => {
  // When 82 hosts started together, each of them got the 82 changes one by one, in a call each.
  it('pause longer while members keep changing', () => {
    const host = DirectoryHost.create().configure({});
    host.takeAllEffects();
    let calls = 0;
    for (let epoch = 2; epoch < 60; epoch++) {
      if (host.state.directory.topics.members.isCallInFlight) {
        const row = newMembersRow(epoch, [{ host: 'h0' }, { host: `h${epoch}` }]);
        host.answerDirectoryCall(
          'members',
          [newDirectoryChange('members', 20 + epoch, { type: 'members', row })],
          epoch,
        );
      }
      host.advance(100);
      calls += getWatches(host, 'members').length;
    }
    expect(calls).toBeGreaterThan(5_800 / MAX_WATCH_PAUSE_MS - 2);
    expect(calls).toBeLessThan(16);
  });
});
