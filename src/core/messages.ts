import { SuspectReported } from '../suspects/types.ts';
import { z } from 'zod';
import {
  RevisionAnnounced,
  RevisionPushed,
  RevisionsAsked,
  SnapshotPushed,
} from '../configuration/messages.ts';
import { GrantAsk, GrantGiven, GrantRefused, GrantReleased } from '../grants/types.ts';

/** Every message between hosts, parsed at the link before it reaches the reducer. */
export const Message = z.discriminatedUnion('type', [
  GrantAsk,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  RevisionPushed,
  RevisionAnnounced,
  RevisionsAsked,
  SnapshotPushed,
  SuspectReported,
]);
export type Message = z.infer<typeof Message>;
