import { describe, expect, it } from 'vitest';
import { sha256 } from '../../src/base/hash.ts';
import { EntryHost } from '../../src/host/entryHost.ts';
import { parseEntrySettings } from '../../src/settings/parse.ts';

const REQUIRED = {
  'host-id': 'h1',
  zone: 'casa-a',
  region: 'ma-north',
  'peer-address': '127.0.0.1:8082',
  'table-url': 'http://127.0.0.1:1',
  'objects-url': 'http://127.0.0.1:2',
  'hosts-url': 'http://127.0.0.1:3',
  keys: JSON.stringify([{ name: 'desk', firm: 'atlas', role: 'caller', sha256: sha256('k') }]),
};

describe('the seeds of an entry host', () => {
  // Guards against a host that finds no peers while the host list is unavailable.
  it.each([
    { name: 'none', text: undefined, seeds: [] },
    {
      name: 'two',
      text: 'h2=127.0.0.1:9001, h3=[::1]:9002',
      seeds: [
        { host: 'h2', address: '127.0.0.1:9001' },
        { host: 'h3', address: '[::1]:9002' },
      ],
    },
  ])('come from --seeds: $name', ({ text, seeds }) => {
    const values = { ...REQUIRED, ...(text === undefined ? {} : { seeds: text }) };
    const argv = Object.entries(values).map(([name, value]) => `--${name}=${value}`);
    const host = EntryHost.create(parseEntrySettings(argv, {}).unwrap());
    expect(host.state.seeds).toEqual(seeds);
  });
});
