import { describe, expect, it } from 'vitest';
import type { DirectoryChange, DirectoryContent, Topic } from '../../src/directory/types.ts';
import { READER_HEARTBEAT_INTERVAL_MS } from '../../src/directory/constants.ts';
import { chooseReader } from '../../src/directory/group.ts';
import {
  DirectoryHost,
  newDirectoryChange,
  newEndpoint,
  newRoutingContent,
} from '../helpers/directoryHost.ts';

const IDS = ['h0', 'h1', 'h2'];
/** Version up to which all hosts know everything at the start. */
const KNOWN = 20;

function createHost(id: string): DirectoryHost {
  const host = DirectoryHost.create(id);
  host.configure({ members: IDS.map((member) => ({ host: member })), endpoints: [{ id: 'e0' }] });
  for (const topic of ['operator', 'endpoints'] as const)
    host.answerDirectoryCall(topic, [], KNOWN).advance(1_000);
  for (const other of IDS) if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
  host.takeAllEffects();
  return host;
}

function createPair() {
  const reader = createHost(chooseReader(createHost('h0').state) ?? '');
  const follower = createHost(IDS.find((id) => id !== reader.state.host.id) ?? '');
  return { reader, follower };
}

/** Delivers to the follower what the reader has sent to it. */
function deliver(reader: DirectoryHost, follower: DirectoryHost): void {
  const { id } = reader.state.host;
  const messages = reader.takeMessages(follower.state.host.id);
  for (const message of messages) follower.receiveMessage(id, message);
}

function getContent({ state }: DirectoryHost, topic: Topic, key: string): DirectoryContent['type'] {
  return state.directory.topics[topic].entries.get(key)?.content.type ?? 'removed';
}

const adapterVersion: DirectoryContent = { type: 'adapterVersion', adapter: 'base/a1', version: 3 };
const routing = newRoutingContent(2, [{ name: 'r2' }]);
const added: DirectoryContent = { type: 'endpoint', endpoint: newEndpoint({ id: 'e1' }) };

// Guards against a row that no host asks for again: the former watch left it out, and named its version.
describe('a reader that has heard a row of a host, and not the one before it', () => {
  it.each<[string, Topic, DirectoryChange, DirectoryChange]>([
    [
      'a routing table',
      'operator',
      newDirectoryChange('version/base.a1', 23, adapterVersion),
      newDirectoryChange('config', 24, routing),
    ],
    [
      'a version of an adapter',
      'operator',
      newDirectoryChange('config', 23, routing),
      newDirectoryChange('version/base.a1', 24, adapterVersion),
    ],
    [
      'an endpoint that is removed',
      'endpoints',
      newDirectoryChange('e1', 23, added),
      newDirectoryChange('e0', 24, { type: 'removed' }),
    ],
  ])('announces both once its watch returns them: %s', (_name, topic, missed, heard) => {
    const { reader, follower } = createPair();
    const told = { type: 'topicTold' as const, topic, after: 23, upTo: 24, changes: [heard] };
    reader.receiveMessage('h9', told).takeAllEffects();
    reader.answerDirectoryCall(topic, [missed, heard], 24);
    deliver(reader, follower);
    const { entries, version } = follower.state.directory.topics[topic];
    expect([entries.get(missed.key), entries.get(heard.key)]).toEqual([missed, heard]);
    expect(version).toBe(24);
  });

  it('does not vouch for followers that have neither', () => {
    const { reader, follower } = createPair();
    const changes = [
      newDirectoryChange('version/base.a1', 23, adapterVersion),
      newDirectoryChange('config', 24, routing),
    ];
    for (const change of changes) {
      const told = { after: 22, upTo: change.version, changes: [change] };
      reader.receiveMessage('h9', { type: 'topicTold', topic: 'operator', ...told });
    }
    reader.takeAllEffects();
    reader.answerDirectoryCall('operator', changes, 24, false, 9_000);
    for (const topic of ['endpoints', 'members'] as const)
      reader.answerDirectoryCall(topic, [], 24, false, 9_000);
    // The announcement is lost, and the heartbeat arrives.
    reader.takeMessages(follower.state.host.id);
    reader.advance(READER_HEARTBEAT_INTERVAL_MS);
    deliver(reader, follower);
    expect(follower.state.directory.topics.operator.provenAtMs).toBeUndefined();
    expect(follower.takeMessages(reader.state.host.id)).toMatchObject([
      { type: 'topicAsked', topic: 'operator', after: KNOWN },
    ]);
  });
});

// Guards against requests to an endpoint that left while its removal was known to nobody who could tell it.
describe('a host that started after a removal', () => {
  it.each([
    ['tells it to a host that asks for the changes since before', KNOWN, 'removed'],
    ['tells nothing of rows that it knows itself', 30, 'endpoint'],
  ] as const)('%s', (_name, after, type) => {
    const { follower } = createPair();
    const started = DirectoryHost.create('h2');
    started.answerDirectoryCall('endpoints', [newDirectoryChange('e1', 12, added)], 30, true);
    const { id } = follower.state.host;
    started.receiveMessage(id, { type: 'topicAsked', topic: 'endpoints', after });
    const messages = started.takeMessages(id);
    for (const message of messages) follower.receiveMessage('h2', message);
    expect(getContent(follower, 'endpoints', 'e0')).toBe(type);
  });
});

// Guards against a row that its reader does not announce, as it has become again what the reader knew.
describe('a follower that saw a row between two watches of its reader', () => {
  it.each<[string, DirectoryContent, DirectoryContent]>([
    ['removed, added and removed', { type: 'removed' }, added],
    ['added, removed and added', added, { type: 'removed' }],
  ])('takes over what the reader has: %s', (_name, content, between) => {
    const { reader, follower } = createPair();
    const known = [newDirectoryChange('e1', 22, content)];
    const told = { topic: 'endpoints' as const, after: KNOWN, upTo: 22, changes: known };
    for (const host of [reader, follower])
      host.receiveMessage('h9', { type: 'topicTold', ...told });
    follower.answerDirectoryCall('endpoints', [newDirectoryChange('e1', 23, between)], 23);
    reader.answerDirectoryCall('operator', [], 24).answerDirectoryCall('members', [], 24);
    reader.answerDirectoryCall('endpoints', [newDirectoryChange('e1', 24, content)], 24);
    reader.advance(READER_HEARTBEAT_INTERVAL_MS);
    follower.takeAllEffects();
    deliver(reader, follower);
    deliver(follower, reader);
    deliver(reader, follower);
    expect(getContent(follower, 'endpoints', 'e1')).toBe(content.type);
  });
});

// Guards against streams that are refused after all hosts started again, as the endpoints of one that read last are not confirmed.
it('a follower that knows more than its reader is confirmed by its heartbeats', () => {
  const { reader, follower } = createPair();
  follower.answerDirectoryCall('endpoints', [newDirectoryChange('e1', 23, added)], 23);
  for (const topic of ['operator', 'members'] as const) reader.answerDirectoryCall(topic, [], 22);
  reader.answerDirectoryCall('endpoints', [], 22).advance(READER_HEARTBEAT_INTERVAL_MS);
  follower.advance(READER_HEARTBEAT_INTERVAL_MS).takeAllEffects();
  deliver(reader, follower);
  expect(follower.state.directory.topics.endpoints.confirmedAt).toBe(follower.now);
});

// Guards against an endpoint that is back in use, or in other hosts' minds, by an answer that waited while its host was frozen.
it('an answer to a watch that announcements have overtaken changes nothing', () => {
  const { reader, follower } = createPair();
  const told = { topic: 'endpoints' as const, after: KNOWN, upTo: 30, changes: [] };
  reader.receiveMessage('h9', { type: 'topicTold', ...told }).takeAllEffects();
  reader.answerDirectoryCall('endpoints', [newDirectoryChange('e1', 23, added)], 24);
  deliver(reader, follower);
  for (const host of [reader, follower])
    expect(getContent(host, 'endpoints', 'e1')).toBe('removed');
});
