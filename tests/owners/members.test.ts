import { describe, expect, it } from 'vitest';
import { ensureOwners, getMembersRowOwner } from '../../src/owners/owner.ts';
import type { MembersRow } from '../../src/owners/types.ts';
import { DirectoryHost, newDirectoryChange, newMembersRow } from '../helpers/directoryHost.ts';

function adopt(host: DirectoryHost, row: MembersRow, version: number): DirectoryHost {
  return host.answerDirectoryCall(
    'members',
    [newDirectoryChange('members', version, { type: 'members', row })],
    version,
  );
}

describe('joining the members row', () => {
  it('writes the first row when there is none', () => {
    const host = DirectoryHost.create();
    host.answerDirectoryCall('members', [], 5, true).advance(1_000);
    const [write] = host.takeRowWrites('members');
    expect(write).toMatchObject({
      version: 0,
      row: { epoch: 1, members: [{ host: 'h0', isOwner: true }] },
    });
  });

  it('joins when its first read is answered after the first attempt to join', () => {
    const host = DirectoryHost.create().advance(2_000);
    expect(host.takeRowWrites('members')).toEqual([]);
    host.answerDirectoryCall('members', [], 5, true).advance(1_000);
    expect(host.takeRowWrites('members')).toHaveLength(1);
  });

  it('retries on top of the row that another host wrote first', () => {
    const host = DirectoryHost.create();
    host.answerDirectoryCall('members', [], 5, true).advance(1_000);
    const [write] = host.takeRowWrites('members');
    if (write === undefined) throw new Error('nothing was written');
    const row = newMembersRow(1, [{ host: 'h1' }]);
    const current = newDirectoryChange('members', 6, { type: 'members', row });
    host.dispatch({
      type: 'rowWriteAnswered',
      content: { type: 'members', row: write.row },
      answer: { type: 'conflict', current },
    });
    host.advance(1_000);
    const [again] = host.takeRowWrites('members');
    expect(again).toMatchObject({ version: 6, row: { epoch: 2 } });
    expect(again?.row.members.map((member) => [member.host, member.isOwner])).toEqual([
      ['h1', true],
      ['h0', false],
    ]);
  });

  it('keeps its ownership after a restart', () => {
    const host = DirectoryHost.create();
    const row = newMembersRow(4, [
      { host: 'h0', incarnation: 0 },
      { host: 'h1', isOwner: false },
    ]);
    host.answerDirectoryCall(
      'members',
      [newDirectoryChange('members', 9, { type: 'members', row })],
      9,
      true,
    );
    const [write] = host.takeRowWrites('members');
    expect(write?.row.members).toContainEqual(
      expect.objectContaining({ host: 'h0', incarnation: 1, isOwner: true }),
    );
  });

  it('does not start a second write while one is in flight', () => {
    const host = DirectoryHost.create();
    host.answerDirectoryCall('members', [], 5, true).advance(5_000);
    expect(host.takeRowWrites('members')).toHaveLength(1);
  });
});

describe('members without a link', () => {
  const MEMBERS = [{ host: 'h0' }, { host: 'h1' }];

  it('are suspected, and removed if they do not refute', () => {
    const host = DirectoryHost.create().configure({ members: MEMBERS });
    host.dispatch({ type: 'linkOpened', host: 'h1' });
    host.dispatch({ type: 'linkClosed', host: 'h1', reason: 'refused' }).advance(2_000);
    const [suspicion] = host.takeRowWrites('members');
    if (suspicion === undefined) throw new Error('h1 is not suspected');
    expect(suspicion.row.members[1]).toMatchObject({ host: 'h1', suspectedBy: 'h0' });
    host.dispatch({
      type: 'rowWriteAnswered',
      content: { type: 'members', row: suspicion.row },
      answer: { type: 'written', version: 21 },
    });
    host.advance(2_000);
    expect(host.takeRowWrites('members')).toEqual([]);
    host.advance(1_500);
    expect(host.takeRowWrites('members')[0]?.row.members.map((member) => member.host)).toEqual([
      'h0',
    ]);
  });

  it('refute the suspicion when they are alive', () => {
    const suspected = DirectoryHost.create('h1').configure({ members: MEMBERS });
    adopt(suspected, newMembersRow(2, [{ host: 'h0' }, { host: 'h1', suspectedBy: 'h0' }]), 21);
    const [refutation] = suspected.takeRowWrites('members');
    expect(refutation?.row.members).toContainEqual(expect.objectContaining({ host: 'h1' }));
    expect(refutation?.row.members.some(({ suspectedBy }) => suspectedBy !== undefined)).toBe(
      false,
    );
  });

  it('are not suspected while this host cannot reach the directory', () => {
    const host = DirectoryHost.create().configure({ members: MEMBERS });
    host
      .dispatch({ type: 'linkClosed', host: 'h1', reason: 'silent' })
      .failDirectoryCall('members');
    host.advance(3_000);
    expect(host.takeRowWrites('members')).toEqual([]);
  });
});

describe('leaving the members row', () => {
  it('removes the host from the row at once and makes another host of its zone an owner', () => {
    const host = DirectoryHost.create().configure({
      members: [{ host: 'h0' }, { host: 'h1', isOwner: false }, { host: 'h2', zone: 'z2' }],
    });
    host.dispatch({ type: 'stopRequested' });
    expect(host.takeRowWrites('members')[0]?.row.members).toMatchObject([
      { host: 'h1', isOwner: true },
      { host: 'h2', isOwner: true },
    ]);
  });
});

describe('ensureOwners and getMembersRowOwner', () => {
  it.each<[string, [string, string, boolean][], number]>([
    [
      'keeps the owners of a zone',
      [
        ['a', 'z1', true],
        ['b', 'z1', false],
      ],
      1,
    ],
    [
      'makes one member of a zone without owners an owner',
      [
        ['a', 'z1', false],
        ['b', 'z1', false],
      ],
      1,
    ],
    [
      'treats each zone separately',
      [
        ['a', 'z1', true],
        ['b', 'z2', false],
      ],
      2,
    ],
  ])('%s', (_name, members, expected) => {
    const { members: row } = newMembersRow(
      1,
      members.map(([host, zone, isOwner]) => ({ host, zone, isOwner })),
    );
    expect(ensureOwners(row).filter(({ isOwner }) => isOwner)).toHaveLength(expected);
  });

  it.each<[string, string, string[]]>([
    ['an owner of the zone', 'z1', ['a', 'b']],
    ['any owner if the zone has none', 'z9', ['a', 'b', 'c']],
  ])('assigns an engine to %s', (_name, zone, expected) => {
    const row = newMembersRow(1, [
      { host: 'a' },
      { host: 'b' },
      { host: 'c', zone: 'z2' },
      { host: 'd', isOwner: false },
    ]);
    for (let n = 0; n < 20; n++) expect(expected).toContain(getMembersRowOwner(row, `e${n}`, zone));
  });
});
