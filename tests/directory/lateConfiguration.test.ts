import { describe, expect, it } from 'vitest';
import { Topic } from '../../src/directory/types.ts';
import { DirectoryGroup, type DirectoryReaction } from '../helpers/directoryGroup.ts';

/** Time from a confirmation within which hosts that nothing happened to must have a change in force. */
const IN_FORCE_MS = 2_000;
/** Time after a cut from which on a host counts as one that nothing happened to. */
const SETTLED_MS = 3_000;
const FREEZE_MS = 3_300;

function getReader(group: DirectoryGroup): string {
  const reader = group.getReader();
  if (reader === undefined) throw new Error('the group has no reader');
  return reader;
}

function getOthers({ ids }: DirectoryGroup, host: string): string[] {
  return ids.filter((id) => id !== host);
}

/**
 * Has the directory not serve `lost` followers for a time in which their reader is frozen too, so that they make
 * calls, and serve them again.
 */
function loseDirectory(group: DirectoryGroup, lost: number, reaction: DirectoryReaction): void {
  const reader = getReader(group);
  const hosts = getOthers(group, reader).slice(0, lost);
  for (const id of hosts) group.reactions.set(id, reaction);
  group.freeze(reader, 1_500);
  group.advance(6_500);
  for (const id of hosts) group.reactions.delete(id);
  group.advance(SETTLED_MS);
}

// Guards against hosts that wait for a retry which the heartbeats of a reader have ended.
describe('hosts that lost the directory while a reader announced its changes', () => {
  it.each<[number, number, DirectoryReaction]>([
    [7, 1, 'refuses'],
    [7, 6, 'refuses'],
    [7, 6, 'ignores'],
    [30, 28, 'refuses'],
  ])('call it again: %d hosts, %d of them lost as it %s', (hosts, lost, reaction) => {
    const group = DirectoryGroup.create({ hosts });
    loseDirectory(group, lost, reaction);
    const unavailable = [...group.hosts.values()].filter(({ state }) =>
      Topic.options.some((topic) => state.directory.topics[topic].unavailableSince !== undefined),
    );
    expect(unavailable.map(({ state }) => state.host.id)).toEqual([]);
  });

  it.each<[number, number, DirectoryReaction]>([
    [7, 5, 'refuses'],
    [7, 6, 'refuses'],
    [30, 28, 'refuses'],
    [30, 28, 'ignores'],
  ])(
    'have a change in force in time when the reader freezes: %d hosts, %d of them lost as it %s',
    (hosts, lost, reaction) => {
      const group = DirectoryGroup.create({ hosts });
      loseDirectory(group, lost, reaction);
      const reader = getReader(group);
      const since = group.now;
      group.freeze(reader, FREEZE_MS);
      group.confirmRoutes();
      group.advance(FREEZE_MS);
      expect(group.getLongestDelayMs(getOthers(group, reader), since)).toBeLessThan(IN_FORCE_MS);
    },
  );
});

/** What happens to the reader, at its step `step` of 150 to 250 ms. */
type ReaderFault = (group: DirectoryGroup, reader: string, step: number) => void;

function once(fault: (group: DirectoryGroup, reader: string) => void): ReaderFault {
  return (group, reader, step) => {
    if (step === 8) fault(group, reader);
  };
}

const STEPS = 60;

// Guards against followers that trust a reader for longer than its knowledge is current.
describe('followers have changes in force in time', () => {
  it.each<[string, ReaderFault]>([
    ['is sound', () => undefined],
    ['is killed', once((group, reader) => group.killHost(reader))],
    ['is frozen', once((group, reader) => group.freeze(reader, 1_500))],
    ['is not served', once((group, reader) => group.reactions.set(reader, 'ignores'))],
    ['is refused', once((group, reader) => group.reactions.set(reader, 'refuses'))],
    ['sends late by 1.5 s', once((group, reader) => group.messageDelays.set(reader, 1_500))],
    [
      'sends later and later, up to 1.5 s',
      (group, reader, step) => group.messageDelays.set(reader, Math.min(1_500, step * 60)),
    ],
    [
      'sends later and later, up to 2.5 s',
      (group, reader, step) => group.messageDelays.set(reader, Math.min(2_500, step * 60)),
    ],
  ])('while their reader %s', (_name, fault) => {
    for (let seed = 0; seed < 5; seed++) {
      const group = DirectoryGroup.create({ hosts: 7 });
      const reader = getReader(group);
      group.advance(seed * 137);
      const since = group.now;
      for (let step = 0; step < STEPS; step++) {
        fault(group, reader, step);
        const content = { type: 'adapterVersion' as const, adapter: 'base/a1', version: step };
        group.write('operator', 'version/base.a1', content);
        if (step % 4 === 0) group.confirmRoutes();
        group.advance(150 + ((seed * 29 + step * 13) % 100));
      }
      group.advance(IN_FORCE_MS);
      expect(group.getLongestDelayMs(getOthers(group, reader), since)).toBeLessThan(IN_FORCE_MS);
    }
  });
});
