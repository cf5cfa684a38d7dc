import { describeChange } from './describeChange.ts';
import { Configuration, type Revision } from './types.ts';

/** Lines shown for one refusal; the rest is counted. */
const MAX_LINES = 50;

/** Returns what `revisions` changed, one line for each change with its revision and operator. */
export function describeRevisions(revisions: readonly Revision[]): string[] {
  // The lines name what was put or removed; the values before are no longer known here.
  const empty = Configuration.create();
  const lines = revisions.flatMap(({ revision, operator, changes }) =>
    changes.map(
      (change) =>
        `revision ${revision} by ${operator}: ${describeChange(empty, change).replace(/^add /, 'set ')}`,
    ),
  );
  if (lines.length <= MAX_LINES) return lines;
  return [...lines.slice(0, MAX_LINES), `and ${lines.length - MAX_LINES} more changes`];
}
