import { describe, expect, it } from 'vitest';
import type { Message } from '../../src/core/messages.ts';
import {
  MAX_ANNOUNCED_BYTES,
  MAX_WATCH_PAUSE_MS,
  READER_HEARTBEAT_INTERVAL_MS,
  WATCH_ANSWER_SLACK_MS,
} from '../../src/directory/constants.ts';
import { chooseReader } from '../../src/directory/group.ts';
import { newNamedDifference } from '../../src/directory/namedDifferences.ts';
import type { Route, RoutingTable, Tenant } from '../../src/routes/types.ts';
import { DirectoryHost, newDirectoryChange, newRoutingContent } from '../helpers/directoryHost.ts';

/** A zone of the two customers: its reader has 29 followers. */
const IDS = Array.from({ length: 30 }, (_, index) => `h${index}`);
const TENANT: Tenant = {
  name: 'school',
  keyDigests: ['digest1'],
  unit: 'token',
  defaultTokens: 10,
  ratePerS: 100,
  burst: 50,
};

function newRoutes(count: number): Partial<Route>[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `route-${index}`,
    pathPrefix: `/path-${index}/`,
  }));
}

function createHost(id: string, routes: Partial<Route>[], tenants?: Tenant[]): DirectoryHost {
  const host = DirectoryHost.create(id);
  host.configure({ members: IDS.map((member) => ({ host: member })), routes, tenants });
  for (const other of IDS) if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
  host.takeAllEffects();
  return host;
}

/** Creates the reader of the group and one of its followers, which know a table. */
function createPair(routes: Partial<Route>[], tenants?: Tenant[]) {
  const any = createHost('h0', routes, tenants);
  const reader = createHost(chooseReader(any.state) ?? '', routes, tenants);
  const id = IDS.find((other) => other !== reader.state.host.id) ?? '';
  return { reader, follower: createHost(id, routes, tenants) };
}

/** Has the directory tell the reader a table, and returns what it sends to each follower. */
function announce(
  reader: DirectoryHost,
  version: number,
  routes: Partial<Route>[],
  tenants: Tenant[] | null = null,
): Message[][] {
  const content = newRoutingContent(version, routes, 0, tenants);
  // The reader pauses between watches that return changes.
  reader.advance(MAX_WATCH_PAUSE_MS).takeAllEffects();
  reader.answerDirectoryCall('operator', [newDirectoryChange('config', version, content)], version);
  const sent = reader.takeEffects('sendMessage');
  return IDS.filter((id) => id !== reader.state.host.id).map((id) =>
    sent.filter(({ to }) => to === id).map(({ message }) => message),
  );
}

function getTable({ state }: DirectoryHost): RoutingTable | undefined {
  return state.routeIndex.current?.table;
}

// Guards against a reader with a link of 10 Mbit/s that sends a table of hundreds of KB to 29 hosts for each change.
describe('a reader of a large routing table', () => {
  it('announces what changed of it', () => {
    const routes = newRoutes(1_500);
    const { reader, follower } = createPair(routes);
    const changed = routes.with(7, { name: 'route-7', pathPrefix: '/moved/' });
    const sent = announce(reader, 2, changed);
    expect(sent).toHaveLength(IDS.length - 1);
    for (const messages of sent) {
      expect(messages).toMatchObject([
        { type: 'routingChanged', routes: { changed: [{ name: 'route-7' }] } },
      ]);
      expect(JSON.stringify(messages).length).toBeLessThan(2_000);
    }
    for (const message of sent[0] ?? []) follower.receiveMessage('h9', message);
    expect(getTable(follower)).toEqual(getTable(reader));
  });

  // Guards against a call to the store by each host for each key that is taken away.
  it('announces the tenants whose keys changed', () => {
    const tenants = Array.from({ length: 16 }, (_, index) => ({
      ...TENANT,
      name: `tenant-${index}`,
      keyDigests: Array.from({ length: 20 }, (_digest, key) => `${index}-${key}`.padEnd(44, '=')),
    }));
    const [first, ...others] = tenants;
    const routes = newRoutes(17);
    const { reader, follower } = createPair(routes, tenants);
    const changed = { ...TENANT, ...first, keyDigests: first?.keyDigests.slice(1) ?? [] };
    const [messages = []] = announce(reader, 2, routes, [changed, ...others]);
    expect(messages).toMatchObject([
      { type: 'routingChanged', tenants: { changed: [{ name: 'tenant-0' }] } },
    ]);
    for (const message of messages) follower.receiveMessage('h9', message);
    expect(getTable(follower)).toEqual(getTable(reader));
  });

  it('announces a version of an adapter together with a change of the table', () => {
    const routes = newRoutes(1_500);
    const { reader, follower } = createPair(routes);
    reader.advance(MAX_WATCH_PAUSE_MS).takeAllEffects();
    const content = newRoutingContent(
      2,
      routes.with(7, { name: 'route-7', pathPrefix: '/moved/' }),
    );
    const adapter = { type: 'adapterVersion' as const, adapter: 'base/a1', version: 4 };
    const changes = [
      newDirectoryChange('version/base.a1', 2, adapter),
      newDirectoryChange('config', 3, content),
    ];
    reader.answerDirectoryCall('operator', changes, 3);
    const [message] = reader.takeMessages(follower.state.host.id);
    if (message !== undefined) follower.receiveMessage('h9', message);
    expect(getTable(follower)).toEqual(getTable(reader));
    expect(follower.state.residency.versions.get('base/a1')).toBe(4);
    expect(follower.state.directory.topics.operator.version).toBe(3);
  });

  it('has its followers read a change that is large itself', () => {
    const { reader, follower } = createPair(newRoutes(17));
    const sent = announce(reader, 2, newRoutes(1_417));
    const bytes = sent.reduce((sum, messages) => sum + JSON.stringify(messages).length, 0);
    expect(bytes).toBeLessThan(MAX_ANNOUNCED_BYTES);
    for (const message of sent[0] ?? []) follower.receiveMessage('h9', message);
    expect(follower.takeEffects('watchTopic')).toMatchObject([
      { topic: 'operator', after: 1, waitMs: 0 },
    ]);
    const id = follower.state.host.id;
    reader.receiveMessage(id, { type: 'topicAsked', topic: 'operator', after: 1, isWhole: false });
    expect(reader.takeMessages(id)).toEqual([
      { type: 'topicAdvanced', topic: 'operator', upTo: 2 },
    ]);
  });
});

describe('a difference of routing tables', () => {
  const [first, second, third, fourth] = newRoutes(4) as [object, object, object, object];
  it.each<[string, Partial<Route>[], Tenant[] | null, string]>([
    ['a route that is new', [first, second, third, fourth], [TENANT], 'routingChanged'],
    ['a route that is gone', [first, third], [TENANT], 'routingChanged'],
    ['no route', [], [TENANT], 'routingChanged'],
    ['tenants that changed', [first, second, third], [{ ...TENANT, burst: 1 }], 'routingChanged'],
    ['no tenants', [first, second, third], null, 'routingChanged'],
    // Of routes with the same host and prefix the first one counts.
    ['another order', [third, first, second], [TENANT], 'topicTold'],
  ])('makes a table with %s', (_name, routes, tenants, type) => {
    const { reader, follower } = createPair([first, second, third], [TENANT]);
    const [messages = []] = announce(reader, 2, routes, tenants);
    expect(messages.map((message) => message.type)).toEqual([type]);
    for (const message of messages) follower.receiveMessage('h9', message);
    expect(getTable(follower)).toEqual(getTable(reader));
    expect(getTable(follower)?.version).toBe(2);
  });

  // Guards against two entries of one name that both become the one that changed.
  it('needs names that are unique', () => {
    const entries = [
      { name: 'a', value: 1 },
      { name: 'a', value: 2 },
    ];
    const changed = [{ name: 'a', value: 3 }, ...entries.slice(1)];
    expect(newNamedDifference(entries, changed)).toBeUndefined();
  });

  it('is not applied to another table than the one it starts from', () => {
    const { reader, follower } = createPair([first]);
    announce(reader, 2, [first, second]);
    const [messages = []] = announce(reader, 3, [first, second, third]);
    for (const message of messages) follower.receiveMessage('h9', message);
    expect(getTable(follower)?.version).toBe(1);
    expect(follower.takeMessages('h9')).toEqual([
      { type: 'topicAsked', topic: 'operator', after: 1, isWhole: false },
    ]);
  });
});

// Guards against hosts that the directory serves slowly or not at all and that keep an old table.
it('a follower asks for a large change that the directory does not deliver', () => {
  const { follower } = createPair(newRoutes(1));
  const advance: Message = { type: 'topicAdvanced', topic: 'operator', upTo: 2 };
  follower.receiveMessage('h9', advance).receiveMessage('h9', advance);
  expect(follower.takeMessages('h9')).toEqual([]);
  follower.advance(WATCH_ANSWER_SLACK_MS);
  follower.receiveMessage('h9', advance).receiveMessage('h9', advance);
  const request = { type: 'topicAsked', topic: 'operator', after: 1, isWhole: true };
  expect(follower.takeMessages('h9')).toEqual([request]);
});

it('a follower that reads a change does not ask for it at each heartbeat', () => {
  const { follower } = createPair(newRoutes(1));
  follower.receiveMessage('h9', { type: 'topicAdvanced', topic: 'operator', upTo: 2 });
  follower.takeAllEffects();
  follower.advance(READER_HEARTBEAT_INTERVAL_MS);
  const told = [2, 10, 20];
  follower.receiveMessage('h9', { type: 'directoryFed', told, regainedMs: 0, provenMs: [1, 1, 1] });
  expect(follower.takeMessages('h9')).toEqual([]);
});
