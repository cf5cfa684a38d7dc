import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { mergeEntries } from '../../src/membership/reconcile.ts';
import type { HostEntry } from '../../src/membership/types.ts';

const entry: fc.Arbitrary<HostEntry> = fc.record({
  host: fc.constant('h'),
  zone: fc.constantFrom('a', 'b'),
  region: fc.constant('r'),
  address: fc.constantFrom('127.0.0.1:1', '127.0.0.1:2'),
  incarnation: fc.integer({ min: 0, max: 2 }),
  revision: fc.integer({ min: 0, max: 2 }),
  state: fc.constantFrom('joining', 'live', 'leaving', 'gone'),
  protocol: fc.integer({ min: 1, max: 2 }),
  configurationRevision: fc.integer({ min: 0, max: 3 }),
});

describe('merging entries of one host', () => {
  const options = { seed: 11, numRuns: 2000 };

  it('is commutative, associative and idempotent, so that all hosts converge to the same view', () => {
    fc.assert(
      fc.property(entry, entry, entry, (a, b, c) => {
        expect(mergeEntries(a, b)).toEqual(mergeEntries(b, a));
        expect(mergeEntries(a, mergeEntries(b, c))).toEqual(mergeEntries(mergeEntries(a, b), c));
        expect(mergeEntries(a, a)).toEqual(a);
        expect(mergeEntries(mergeEntries(a, b), b)).toEqual(mergeEntries(a, b));
      }),
      options,
    );
  });

  it('never returns to an older version or configuration revision of one incarnation', () => {
    fc.assert(
      fc.property(entry, entry, (a, b) => {
        const merged = mergeEntries(a, b);
        expect(merged.incarnation).toBe(Math.max(a.incarnation, b.incarnation));
        if (a.incarnation !== b.incarnation) return;
        expect(merged.revision).toBe(Math.max(a.revision, b.revision));
        expect(merged.configurationRevision).toBe(
          Math.max(a.configurationRevision, b.configurationRevision),
        );
      }),
      options,
    );
  });
});
