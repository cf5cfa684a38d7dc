import { describe, expect, it } from 'vitest';
import { ChunkSequencer } from '../../src/clients/chunkSequencer.ts';

describe('ChunkOrder', () => {
  it.each<{ name: string; chunks: [string | undefined, string][]; expected: string }>([
    {
      name: 'keeps an ordered stream',
      chunks: [
        ['1', 'a'],
        ['2', 'b'],
      ],
      expected: 'ab',
    },
    {
      name: 'drops repeated chunks',
      chunks: [
        ['1', 'a'],
        ['1', 'a'],
        ['2', 'b'],
        ['1', 'a'],
      ],
      expected: 'ab',
    },
    {
      name: 'holds chunks that come early',
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
      name: 'refuses an unnumbered end after a gap',
      chunks: [
        ['1', 'a'],
        ['3', 'c'],
        [undefined, '[DONE]'],
      ],
      expected: 'a',
    },
    {
      name: 'passes a stream without numbers',
      chunks: [
        [undefined, 'a'],
        [undefined, 'b'],
      ],
      expected: 'ab',
    },
    {
      name: 'refuses a chunk without a number among numbered ones',
      chunks: [
        ['1', 'a'],
        [undefined, 'a'],
      ],
      expected: 'a?',
    },
    {
      name: 'refuses a number after chunks without one',
      chunks: [
        [undefined, 'a'],
        ['2', 'b'],
      ],
      expected: 'a?',
    },
  ])('$name', ({ chunks, expected }) => {
    const order = ChunkSequencer.create();
    expect(chunks.flatMap(([id, data]) => order.push(id, data) ?? ['?']).join('')).toBe(expected);
  });
});
