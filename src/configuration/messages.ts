import { z } from 'zod';
import { Change, Revision } from './types.ts';

/** One accepted revision, complete. */
export const RevisionPushed = z.object({ type: z.literal('revisionPushed'), revision: Revision });
/** A revision that is too large for one message; it is read from the table. */
export const RevisionAnnounced = z.object({
  type: z.literal('revisionAnnounced'),
  revision: z.int().min(1),
});
/** Asks for all revisions after `after`. */
export const RevisionsRequest = z.object({
  type: z.literal('revisionsAsked'),
  after: z.int().min(0),
});
/** Part `part` (from 0) of `parts` of a whole configuration. */
export const SnapshotPushed = z.object({
  type: z.literal('snapshotPushed'),
  revision: z.int().min(1),
  part: z.int().min(0),
  parts: z.int().min(1).max(10_000),
  changes: z.array(Change),
});

export type ConfigurationMessage =
  | z.infer<typeof RevisionPushed>
  | z.infer<typeof RevisionAnnounced>
  | z.infer<typeof RevisionsRequest>
  | z.infer<typeof SnapshotPushed>;
