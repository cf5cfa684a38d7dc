import { setImmediate } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { READ_TURN_COST_BYTES, READ_TURN_MS } from '../../src/eventLoop/constants.ts';
import { ReadTurns } from '../../src/eventLoop/readTurns.ts';

const PLAY_MS = 300;
const PART_MS = 1;

/** Handles a part, which takes PART_MS. */
function handlePart(): void {
  const endsAt = performance.now() + PART_MS;
  while (performance.now() < endsAt);
}

/**
 * Lets connections deliver without a pause for PLAY_MS; returns the parts of each, and the most that were handled
 * in one iteration of the event loop.
 */
async function play(connections: number): Promise<{ parts: number[]; most: number }> {
  const turns = ReadTurns.create();
  let handled = 0;
  let most = 0;
  const parts = Array.from({ length: connections }, () => 0);
  const endsAt = performance.now() + PLAY_MS;
  for (const index of parts.keys()) {
    const share = turns.newShare();
    const read = (): void => {
      if (performance.now() >= endsAt) return;
      parts[index] = (parts[index] ?? 0) + 1;
      handled += 1;
      most = Math.max(most, handled);
      handlePart();
      if (turns.count(share, READ_TURN_COST_BYTES)) turns.wait(share, read);
    };
    turns.wait(share, read);
  }
  while (performance.now() < endsAt) {
    await setImmediate();
    handled = 0;
  }
  return { parts, most };
}

// Guards against connections that keep the event loop from everything else, or from each other.
describe('connections that deliver without a pause', () => {
  it.each([1, 8, 100])(
    '%d of them leave time for others, and have about as much each',
    async (count) => {
      const { parts, most } = await play(count);
      expect(most).toBeLessThanOrEqual(READ_TURN_MS / PART_MS + 1);
      expect(Math.max(...parts) - Math.min(...parts)).toBeLessThanOrEqual(1);
    },
  );

  it.each<[string, number, number, boolean]>([
    ['one event', 1, 100, false],
    ['many events in one iteration', 100, 100, true],
    ['tiny parts in one iteration', 1_024, 1, true],
    ['one large part', 1, READ_TURN_COST_BYTES, true],
  ])('%s: whether it waits for a turn', (_name, parts, bytes, expected) => {
    const turns = ReadTurns.create();
    const share = turns.newShare();
    const waits = Array.from({ length: parts }, () => turns.count(share, bytes));
    expect(waits.at(-1)).toBe(expected);
  });
});
