import { describe, expect, it } from 'vitest';
import { decodeEndpoint } from '../../platform/endpoints.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

const DEPTH = 16_000;
const SOUND = {
  service: 'desk',
  address: '127.0.0.1:9',
  zone: 'z1',
  slots: 4,
  state: 'ready',
  seq: 1,
  born: 1,
  models: [],
};

function newEntry(change: object): string {
  return JSON.stringify({ ...SOUND, ...change });
}

/** Entries of another writer that name no endpoint. */
const ODD_ENTRIES: [string, string][] = [
  ['a port above the highest', newEntry({ address: '127.0.0.1:65536' })],
  ['a port of many digits', newEntry({ address: `127.0.0.1:${'9'.repeat(300)}` })],
  ['port zero', newEntry({ address: '127.0.0.1:0' })],
  ['a negative port', newEntry({ address: '127.0.0.1:-1' })],
  ['no IP address', newEntry({ address: '999.1.1.1:80' })],
  ['a short IP address', newEntry({ address: '1.2:80' })],
  ['arrays nested deeply', `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`],
  [
    'models nested deeply',
    newEntry({ models: [] }).replace(
      '"models":[]',
      `"models":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`,
    ),
  ],
  ['objects nested deeply', `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`],
  ['a number that is too large', newEntry({}).replace('"seq":1', '"seq":1e999')],
  ['a start that is too large', newEntry({}).replace('"born":1', `"born":${'9'.repeat(400)}`)],
  ['slots that are too many', newEntry({}).replace('"slots":4', '"slots":1e308')],
  ['slots below one', newEntry({ slots: 0 })],
  ['bytes that are no JSON', '\u0000\uFFFF{'],
];

describe('an odd entry among those of the endpoints', () => {
  it.each(ODD_ENTRIES)('names none: %s', (_name, text) => {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      value = undefined;
    }
    expect(decodeEndpoint('odd', value)).toBeUndefined();
  });

  // Guards against hosts that end, or stop following the directory, because of one entry.
  it('does not keep hosts from following the others', async () => {
    const deployment = await GatewayDeployment.create();
    deployment.configure(1);
    await deployment.addServer('desk', 'e1');
    for (let host = 0; host < 3; host++) await deployment.addHost();
    await deployment.waitReady(1);
    for (const [index, [, text]] of ODD_ENTRIES.entries())
      deployment.store.putRaw('servers', `odd${index}`, text);
    const answers = await Promise.all(
      Array.from({ length: 30 }, (_, index) => deployment.send({ path: '/status/1' }, index % 3)),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
    await deployment.addServer('desk', 'e2');
    await waitUntil(() => deployment.hosts.every(({ state }) => state.fleet.views.has('e2')));
    const known = deployment.hosts.map(({ state }) => [...state.fleet.views.keys()].sort());
    expect(known).toEqual(known.map(() => ['e1', 'e2']));
  });
});
