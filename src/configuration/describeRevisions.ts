import { describeChange } from './describeChange.ts';
import { Configuration, type Revision } from './types.ts';

/** Changes described for one stale plan; of the rest only the number is given. */
const MAX_DESCRIBED_CHANGES = 50;

/** Returns one line for each change of `revisions`, with its revision and operator. */
export function describeRevisions(revisions: readonly Revision[]): string[] {
  // The previous values are not known here, so the lines only have the new ones, and an entry that
  // would be described as added may have existed before.
  const empty = Configuration.create();
  const lines = revisions.flatMap(({ revision, operator, changes }) =>
    changes.map(
      (change) =>
        `revision ${revision} by ${operator}: ${describeChange(empty, change).replace(/^add /, 'set ')}`,
    ),
  );
  if (lines.length <= MAX_DESCRIBED_CHANGES) return lines;
  return [
    ...lines.slice(0, MAX_DESCRIBED_CHANGES),
    `and ${lines.length - MAX_DESCRIBED_CHANGES} more changes`,
  ];
}
