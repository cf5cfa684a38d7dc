import { describe, expect, it } from 'vitest';
import { HashRing } from '../../src/routing/hashRing.ts';

const engines = Array.from({ length: 20 }, (_, index) => `e${index}`);
const keys = Array.from({ length: 500 }, (_, index) => `adapter-${index}@v1`);
const anyEngine = () => true;

describe('HashRing', () => {
  // Guards against a removed engine that moves adapters between the remaining engines.
  it('moves only the keys of a removed engine', () => {
    const before = HashRing.create(engines);
    const after = HashRing.create(engines.filter((engine) => engine !== 'e7'));
    for (const key of keys) {
      const [first = ''] = before.find(key, 1, anyEngine);
      if (first !== 'e7') expect(after.find(key, 1, anyEngine)).toEqual([first]);
    }
  });

  // Guards against hosts that choose different engines for the same cold adapter.
  it('does not depend on the order of the engines', () => {
    const ring = HashRing.create(engines);
    const reversed = HashRing.create([...engines].reverse());
    for (const key of keys) {
      expect(reversed.find(key, 3, anyEngine)).toEqual(ring.find(key, 3, anyEngine));
    }
  });

  // Guards against hosts that disagree because one of them added the engines one at a time.
  it('is the same after incremental changes as when built at once', () => {
    const changed = HashRing.create(engines.slice(0, 5));
    for (const engine of engines.slice(5)) changed.add(engine);
    changed.add('other');
    changed.remove('other');
    const ring = HashRing.create(engines);
    for (const key of keys) {
      expect(changed.find(key, 3, anyEngine)).toEqual(ring.find(key, 3, anyEngine));
    }
  });

  it.each([
    { name: 'skips unavailable engines', usable: (e: string) => e !== 'e1', count: 19 },
    { name: 'finds no engine if none is available', usable: () => false, count: 0 },
  ])('$name', ({ usable, count }) => {
    const found = HashRing.create(engines).find('a@v1', 20, usable);
    expect(found).toHaveLength(count);
    expect(new Set(found).size).toBe(count);
  });
});
