import { describe, expect, it } from 'vitest';
import { ChunkSequencer } from '../../src/clients/chunkSequencer.ts';

describe('ChunkSequencer', () => {
  it.each<{ name: string; chunks: [string | undefined, string][]; expected: string }>([
    {
      name: 'passes on an ordered stream unchanged',
      chunks: [
        ['1', 'a'],
        ['2', 'b'],
      ],
      expected: 'ab',
    },
    {
      name: 'drops duplicate chunks',
      chunks: [
        ['1', 'a'],
        ['1', 'a'],
        ['2', 'b'],
        ['1', 'a'],
      ],
      expected: 'ab',
    },
    {
      name: 'holds chunks that arrive out of order',
      chunks: [
        ['3', 'c'],
        ['2', 'b'],
        ['1', 'a'],
      ],
      expected: 'abc',
    },
    {
      name: 'holds everything after a gap',
      chunks: [
        ['1', 'a'],
        ['3', 'c'],
        ['4', '[DONE]'],
      ],
      expected: 'a',
    },
    {
      name: 'ignores an unnumbered end marker after a gap',
      chunks: [
        ['1', 'a'],
        ['3', 'c'],
        [undefined, '[DONE]'],
      ],
      expected: 'a',
    },
    {
      name: 'passes on an unnumbered stream',
      chunks: [
        [undefined, 'a'],
        [undefined, 'b'],
      ],
      expected: 'ab',
    },
    {
      name: 'rejects an unnumbered chunk after numbered ones',
      chunks: [
        ['1', 'a'],
        [undefined, 'a'],
      ],
      expected: 'a?',
    },
    {
      name: 'rejects a numbered chunk after unnumbered ones',
      chunks: [
        [undefined, 'a'],
        ['2', 'b'],
      ],
      expected: 'a?',
    },
  ])('$name', ({ chunks, expected }) => {
    const sequencer = ChunkSequencer.create();
    expect(chunks.flatMap(([id, data]) => sequencer.push(id, data) ?? ['?']).join('')).toBe(
      expected,
    );
  });
});
