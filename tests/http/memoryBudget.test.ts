import { expect, it } from 'vitest';
import { ByteBuffer } from '../../src/base/byteBuffer.ts';
import { type BytesHolder, MemoryBudget } from '../../src/http/memoryBudget.ts';

// Guards against small requests that give way to a large one, and against memory that is never released.
it.each<[string, [string, number][], string[], number]>([
  [
    'all that fits',
    [
      ['a', 40],
      ['b', 60],
    ],
    [],
    100,
  ],
  [
    'the largest, when a small one is added',
    [
      ['a', 90],
      ['b', 20],
    ],
    ['a'],
    20,
  ],
  [
    'the one that grows',
    [
      ['a', 30],
      ['b', 30],
      ['b', 80],
    ],
    ['b'],
    30,
  ],
  [
    'several',
    [
      ['a', 50],
      ['b', 45],
      ['c', 5],
      ['c', 99],
    ],
    ['c'],
    95,
  ],
  [
    'complete ones last',
    [
      ['done', 60],
      ['a', 10],
      ['b', 40],
    ],
    ['b'],
    70,
  ],
  [
    'a complete one if there is no other',
    [
      ['done', 60],
      ['done2', 50],
    ],
    ['done'],
    50,
  ],
])('%s', (_name, steps, evicted, total) => {
  const budget = MemoryBudget.create(100);
  const seen: string[] = [];
  const holders = new Map<string, BytesHolder>();
  for (const [name, bytes] of steps) {
    const isComplete = name.startsWith('done');
    const holder = holders.get(name) ?? { isComplete, evict: () => seen.push(name) };
    holders.set(name, holder);
    budget.hold(holder, bytes);
  }
  expect(seen).toEqual(evicted);
  expect(budget.totalBytes).toBe(total);
  for (const holder of holders.values()) budget.release(holder);
  expect(budget.totalBytes).toBe(0);
});

// Guards against bytes that are lost or mixed up when the buffer grows or is emptied.
it('holds the bytes that were appended and not dropped', () => {
  const buffer = ByteBuffer.create();
  let expected = '';
  for (let part = 0; part < 3_000; part++) {
    const text = `${part},`;
    buffer.append(Buffer.from(text));
    expected += text;
    if (part % 7 !== 0) continue;
    const dropped = Math.min(expected.length, part % 50);
    buffer.drop(dropped);
    expected = expected.slice(dropped);
  }
  expect(buffer.content.toString()).toBe(expected);
  expect(buffer.capacity).toBeLessThan(4 * expected.length);
  expect(buffer.take().toString()).toBe(expected);
  expect(buffer.length).toBe(0);
});
