import { describe, expect, it } from 'vitest';
import { chooseReader } from '../../src/directory/group.ts';
import { chooseCapableMember, ensureOwners } from '../../src/owners/owner.ts';
import type { Member } from '../../src/owners/types.ts';
import { DirectoryHost, newMembersRow } from '../helpers/directoryHost.ts';

const SMALL = { capacity: 0.324, isOwner: false };
const LARGE = { capacity: 1.35, isOwner: false };

function newMembers(changes: Partial<Member>[]): Member[] {
  return newMembersRow(1, changes).members;
}

// Guards against hosts with a third of a core that own engines and read for 29 others beside hosts with four times as much.
describe('the member that takes over work for others', () => {
  it.each<[string, Partial<Member>[], string[]]>([
    ['has the most capacity', [SMALL, LARGE, SMALL], ['h1']],
    ['is one of those that have the most', [LARGE, SMALL, LARGE], ['h0', 'h2']],
    ['states its capacity', [{}, SMALL, {}], ['h1']],
    ['is any where none states it', [{}, {}, {}], ['h0', 'h1', 'h2']],
  ])('%s', (_name, changes, expected) => {
    const members = newMembers(changes);
    const keys = Array.from({ length: 40 }, (_, index) => `key-${index}`);
    const chosen = new Set(keys.map((key) => chooseCapableMember(key, members)));
    expect([...chosen].sort()).toEqual(expected);
  });

  it('becomes the owner of a zone that has none', () => {
    const owners = ensureOwners(newMembers([SMALL, SMALL, LARGE, SMALL])).filter(
      ({ isOwner }) => isOwner,
    );
    expect(owners.map(({ host }) => host)).toEqual(['h2']);
  });

  it('is the reader of its group, until the store refuses it', () => {
    const host = DirectoryHost.create('h2');
    host.configure({ members: [SMALL, LARGE, SMALL] });
    for (const other of ['h0', 'h1']) host.dispatch({ type: 'linkOpened', host: other });
    expect(chooseReader(host.state)).toBe('h1');
    host.state.directory.avoidedReaders.set('h1', host.now + 1_000);
    expect(['h0', 'h2']).toContain(chooseReader(host.state));
  });
});
