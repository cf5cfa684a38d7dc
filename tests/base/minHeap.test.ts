import { describe, expect, it } from 'vitest';
import { MinHeap } from '../../src/base/minHeap.ts';

describe('MinHeap', () => {
  it.each([
    { name: 'orders by due time', due: [5, 1, 3], now: 10, expected: [1, 2, 0] },
    { name: 'keeps insertion order for equal times', due: [2, 2, 2], now: 2, expected: [0, 1, 2] },
    { name: 'does not return items that are not due', due: [1, 9, 2], now: 5, expected: [0, 2] },
  ])('$name', ({ due, now, expected }) => {
    const heap = MinHeap.create<number>();
    due.forEach((at, index) => heap.push(at, index));
    const popped: number[] = [];
    for (let item = heap.popDue(now); item !== undefined; item = heap.popDue(now)) {
      popped.push(item);
    }
    expect(popped).toEqual(expected);
  });
});
