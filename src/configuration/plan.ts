import { Err, Ok, type Result } from '../base/result.ts';
import { z } from 'zod';
import { applyChange } from './apply.ts';
import { describeChange } from './describeChange.ts';
import type { Intent } from './intent.ts';
import { getIntentChanges } from './intentChanges.ts';
import { copyConfiguration } from './snapshot.ts';
import { Change, type Configuration, Name } from './types.ts';
import { validateConfiguration } from './validate.ts';

/** Row `plan/ID`: changes that an operator can confirm on any host. Rows are immutable. */
export const Plan = z.strictObject({
  id: Name,
  /** Revision that the changes were computed from. */
  baseRevision: z.int().min(0),
  changes: z.array(Change),
  /** Descriptions of the changes, one line each. */
  lines: z.array(z.string()),
  operator: z.string(),
  plannedAtUnixMs: z.int(),
});
export type Plan = z.infer<typeof Plan>;

/** Id of a plan, and by whom and when it was made. */
export type PlanOrigin = Pick<Plan, 'id' | 'operator' | 'plannedAtUnixMs'>;

/**
 * Returns the plan that brings `configuration` to `intent`, or the problems of the configuration
 * that would result. Does not change `configuration`.
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

/** Requires that removed engines were leaving before, so that no request is interrupted. */
function validateRemovals(before: Configuration, changes: readonly Change[]): string[] {
  return changes.flatMap((change) =>
    change.type === 'removeEngine' && !before.leavingEndpoints.has(change.id)
      ? [`engine ${change.id}: must be leaving in an earlier revision before it is removed`]
      : [],
  );
}
