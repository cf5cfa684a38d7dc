import { describe, expect, it } from 'vitest';
import { READER_AVOIDED_MS, READER_HEARTBEAT_INTERVAL_MS } from '../../src/directory/constants.ts';
import { chooseReader } from '../../src/directory/group.ts';
import { newMembersChange } from '../../src/directory/membersChanges.ts';
import { Topic } from '../../src/directory/types.ts';
import { JOIN_BATCH_MS, JOIN_TIMEOUT_MS } from '../../src/owners/constants.ts';
import type { Member } from '../../src/owners/types.ts';
import {
  DirectoryHost,
  newDirectoryChange,
  newMembersRow,
  newRoutingContent,
} from '../helpers/directoryHost.ts';

const IDS = ['h0', 'h1', 'h2', 'h3'];

function createGroup(): DirectoryHost[] {
  return IDS.map((id) => {
    const host = DirectoryHost.create(id);
    host.configure({ members: IDS.map((member) => ({ host: member })) });
    for (const other of IDS) if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
    host.takeAllEffects();
    return host;
  });
}

function getReader(hosts: readonly DirectoryHost[]): string | undefined {
  const readers = new Set(hosts.map(({ state }) => chooseReader(state)));
  return readers.size === 1 ? [...readers][0] : undefined;
}

function sendHeartbeat(host: DirectoryHost, from: string, told: number[]): void {
  const provenMs = [5_000, 5_000, 5_000];
  host.receiveMessage(from, { type: 'directoryFed', told, regainedMs: 60_000, provenMs });
}

// Guards against a change of the operator that costs a call to the store for each host.
describe('a follower of a reader that proves its entries', () => {
  it('watches no topic', () => {
    const [host] = createGroup();
    if (host === undefined) throw new Error('no host');
    sendHeartbeat(host, 'h9', [1, 10, 20]);
    for (const topic of Topic.options) host.answerDirectoryCall(topic, [], 20);
    for (let waited = 0; waited < 30_000; waited += READER_HEARTBEAT_INTERVAL_MS) {
      host.advance(READER_HEARTBEAT_INTERVAL_MS);
      sendHeartbeat(host, 'h9', [1, 10, 20]);
    }
    expect(host.takeEffects('watchTopic')).toEqual([]);
  });

  it('requests a change of which it has only heard', () => {
    const [host] = createGroup();
    if (host === undefined) throw new Error('no host');
    sendHeartbeat(host, 'h9', [4, 10, 20]);
    expect(host.takeMessages('h9')).toEqual([
      { type: 'topicAsked', topic: 'operator', after: 1, isWhole: false },
    ]);
  });
});

// Guards against a group whose reader is cut off from the store, so that all others read for themselves.
describe('a reader that sends no heartbeats', () => {
  it('is replaced by the same host in the eyes of all others, for a time', () => {
    const hosts = createGroup();
    const first = getReader(hosts);
    const others = hosts.filter(({ state }) => state.host.id !== first);
    for (const host of others) host.advance(1_000);
    const second = getReader(others);
    expect(second).toBeDefined();
    expect(second).not.toBe(first);
    for (let waited = 0; waited < READER_AVOIDED_MS; waited += READER_HEARTBEAT_INTERVAL_MS) {
      for (const host of others) {
        host.advance(READER_HEARTBEAT_INTERVAL_MS);
        if (host.state.host.id !== second) sendHeartbeat(host, second ?? '', [1, 10, 20]);
      }
    }
    expect(getReader(others)).toBe(first);
  });

  // Guards against hosts that keep the old entries, as each new reader that the store refuses covers for the last.
  it('is replaced by one that sends heartbeats only after the directory has answered it', () => {
    const hosts = createGroup();
    const first = getReader(hosts);
    const others = hosts.filter(({ state }) => state.host.id !== first);
    for (const host of others) {
      for (const topic of Topic.options) host.answerDirectoryCall(topic, [], 20);
      for (let waited = 0; waited < 3_000; waited += READER_HEARTBEAT_INTERVAL_MS) {
        host.advance(READER_HEARTBEAT_INTERVAL_MS);
        sendHeartbeat(host, first ?? '', [1, 10, 20]);
      }
      host.takeAllEffects();
      host.advance(1_000);
    }
    const second = others.find(({ state }) => state.host.id === getReader(others));
    const isHeartbeat = ({ type }: { type: string }): boolean => type === 'directoryFed';
    const to = others.find((host) => host !== second)?.state.host.id ?? '';
    expect(second?.takeMessages(to).filter(isHeartbeat)).toEqual([]);
    for (const topic of Topic.options) second?.answerDirectoryCall(topic, [], 20);
    second?.advance(READER_HEARTBEAT_INTERVAL_MS);
    expect(second?.takeMessages(to).filter(isHeartbeat).length).toBeGreaterThan(0);
  });

  it('does not take itself for the reader while its calls fail', () => {
    const hosts = createGroup();
    const first = hosts.find(({ state }) => chooseReader(state) === state.host.id);
    first?.failDirectoryCall('operator');
    expect(first && chooseReader(first.state)).not.toBe(first?.state.host.id);
  });
});

// Guards against announcements that hold all members for each one that changes.
describe('a change of the members row', () => {
  const before = newMembersRow(3, [{ host: 'h0' }, { host: 'h1' }, { host: 'h2' }]);
  const after = newMembersRow(4, [{ host: 'h0' }, { host: 'h2', incarnation: 2 }, { host: 'h5' }]);

  function createHost(): DirectoryHost {
    const host = DirectoryHost.create('h0');
    const content = { type: 'members' as const, row: before };
    host.answerDirectoryCall('members', [newDirectoryChange('members', 9, content)], 9, true);
    host.takeAllEffects();
    return host;
  }

  const change = newMembersChange(
    createHost().state,
    [newDirectoryChange('members', 12, { type: 'members', row: after })],
    9,
    12,
  );

  it('is told as what differs', () => {
    expect(change?.removed).toEqual(['h1']);
    expect(change?.changed.map(({ host }) => host)).toEqual(['h2', 'h5']);
  });

  it('gives the same members to a host that knew the row before', () => {
    const host = createHost();
    if (change !== undefined) host.receiveMessage('h9', change);
    const { row } = host.state.owners;
    expect(row?.epoch).toBe(4);
    expect(new Set(row?.members)).toEqual(new Set(after.members));
    expect(host.state.directory.topics.members.version).toBe(12);
  });

  it('is requested as a whole by a host that knew another row', () => {
    const host = createHost();
    if (change !== undefined) host.receiveMessage('h9', { ...change, fromEpoch: 2 });
    expect(host.state.owners.row?.epoch).toBe(3);
    expect(host.takeMessages('h9')).toEqual([
      { type: 'topicAsked', topic: 'members', after: 9, isWhole: false },
    ]);
  });
});

// Guards against hosts that start together and refuse each other's writes.
describe('a host that starts', () => {
  const row = newMembersRow(1, [{ host: 'h0' }]);

  function start(id: string): DirectoryHost {
    const host = DirectoryHost.create(id);
    const content = { type: 'members' as const, row };
    host.answerDirectoryCall('members', [newDirectoryChange('members', 5, content)], 5, true);
    host.dispatch({ type: 'linkOpened', host: 'h0' });
    return host;
  }

  it('asks a member to add it, and writes nothing', () => {
    const host = start('h1').advance(500);
    const effects = host.takeAllEffects();
    expect(effects.filter(({ type }) => type === 'writeRow')).toEqual([]);
    expect(effects).toContainEqual(
      expect.objectContaining({
        to: 'h0',
        message: expect.objectContaining({ type: 'joinAsked' }) as object,
      }),
    );
  });

  it('writes the row itself if no member adds it in time', () => {
    const host = start('h1').advance(JOIN_TIMEOUT_MS + 500);
    expect(host.takeRowWrites('members').length).toBeGreaterThan(0);
  });

  it('is added together with others that ask, in one write', () => {
    const host = DirectoryHost.create('h0').configure({ members: [{ host: 'h0' }] });
    host.takeAllEffects();
    const newMember = (id: string): Member => ({
      host: id,
      incarnation: 1,
      zone: 'z1',
      address: '10.0.0.9:1',
      isOwner: false,
    });
    for (const id of ['h1', 'h2', 'h3'])
      host.receiveMessage(id, { type: 'joinAsked', member: newMember(id) });
    // A host may not add another one.
    host.receiveMessage('h4', { type: 'joinAsked', member: newMember('h5') });
    host.advance(JOIN_BATCH_MS);
    const writes = host.takeRowWrites('members');
    expect(writes.map((write) => write.row.members.map(({ host: id }) => id))).toEqual([
      ['h0', 'h1', 'h2', 'h3'],
    ]);
  });
});

// Guards against tables that followers never get to know.
it('a change that a reader announces is in force at its followers', () => {
  const [host] = createGroup();
  if (host === undefined) throw new Error('no host');
  const changes = [newDirectoryChange('config', 2, newRoutingContent(2, [{ name: 'r2' }]))];
  host.receiveMessage('h9', { type: 'topicTold', topic: 'operator', after: 1, upTo: 2, changes });
  expect(host.state.routeIndex.current?.table.version).toBe(2);
});
