import { z } from 'zod';
import { Change, Revision } from './types.ts';

/** An accepted revision with all its changes. */
export const RevisionPushed = z.object({ type: z.literal('revisionPushed'), revision: Revision });
/** Announces a revision that is too large for one message; the receiver reads it from the table. */
export const RevisionAnnounced = z.object({
  type: z.literal('revisionAnnounced'),
  revision: z.int().min(1),
});
/** Requests all revisions after `after`. */
export const RevisionsRequest = z.object({
  type: z.literal('revisionsAsked'),
  after: z.int().min(0),
});
/** Part `part` (from 0) of a whole configuration that is sent in `parts` messages. */
export const SnapshotPushed = z.object({
  type: z.literal('snapshotPushed'),
  revision: z.int().min(1),
  part: z.int().min(0),
  parts: z.int().min(1).max(10_000),
  changes: z.array(Change),
});

/** Messages that replicate the configuration between hosts. */
export type ConfigurationMessage =
  | z.infer<typeof RevisionPushed>
  | z.infer<typeof RevisionAnnounced>
  | z.infer<typeof RevisionsRequest>
  | z.infer<typeof SnapshotPushed>;
