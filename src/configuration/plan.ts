import { Err, Ok, type Result } from '../base/result.ts';
import { z } from 'zod';
import { applyChange } from './apply.ts';
import { describeChange } from './describeChange.ts';
import type { Intent } from './intent.ts';
import { getIntentChanges } from './intentChanges.ts';
import { copyConfiguration } from './snapshot.ts';
import { Change, type Configuration, Name } from './types.ts';
import { validateConfiguration } from './validate.ts';

/** Row `plan/ID`: changes that an operator may confirm, on any host. Never changed once written. */
export const Plan = z.strictObject({
  id: Name,
  /** Revision that the changes were computed from. */
  baseRevision: z.int().min(0),
  changes: z.array(Change),
  /** The changes in words, one line each. */
  lines: z.array(z.string()),
  operator: z.string(),
  plannedAtUnixMs: z.int(),
});
export type Plan = z.infer<typeof Plan>;

export type PlanOrigin = Pick<Plan, 'id' | 'operator' | 'plannedAtUnixMs'>;

/**
 * Returns the plan that brings `configuration` to `intent`, or what is wrong with the result. The
 * configuration itself stays as it is.
 */
export function newPlan(
  configuration: Configuration,
  intent: Intent,
  origin: PlanOrigin,
): Result<Plan, string[]> {
  const changes = getIntentChanges(configuration, intent);
  const after = copyConfiguration(configuration);
  const lines: string[] = [];
  for (const change of changes) {
    lines.push(describeChange(after, change));
    applyChange(after, change);
  }
  const problems = [...validateRemovals(configuration, changes), ...validateConfiguration(after)];
  if (problems.length > 0) return Err(problems);
  return Ok({ ...origin, baseRevision: configuration.revision, changes, lines });
}

/** An engine is removed only after it was leaving, so that its removal interrupts no request. */
function validateRemovals(before: Configuration, changes: readonly Change[]): string[] {
  return changes.flatMap((change) =>
    change.type === 'removeEngine' && !before.leavingEndpoints.has(change.id)
      ? [`engine ${change.id}: must be leaving in an earlier revision before it is removed`]
      : [],
  );
}
