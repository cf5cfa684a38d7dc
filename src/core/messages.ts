import { SuspectsReported } from '../suspects/types.ts';
import {
  MembersChange,
  ReaderHeartbeat,
  RoutingChange,
  TopicAdvance,
  TopicChangesRequest,
  TopicChanges,
} from '../directory/types.ts';
import {
  AdapterWanted,
  EngineStatusAnnouncement,
  ReservationRequest,
  ReservationGranted,
  ReservationQueued,
  ReservationRefused,
  ReservationReleased,
  ReservationStarted,
} from '../residency/types.ts';
import { JoinRequest, MembersRowSeen } from '../owners/types.ts';
import { EndpointNoticesAnnounced, EndpointPaused } from '../notices/types.ts';
import { QuotaAnswer, QuotaRequest, TenantMetered } from '../quotas/types.ts';
import { StreamLookup, StreamLookupAnswer, StreamsRecorded } from '../streams/types.ts';
import { z } from 'zod';
import {
  GrantRequest,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  LoadTokenRequest,
  LoadTokenLoan,
} from '../grants/types.ts';
import {
  RevisionAnnounced,
  RevisionPushed,
  RevisionsRequest,
  SnapshotPushed,
} from '../configuration/messages.ts';
import {
  EndpointsLeaving,
  EngineDelta,
  EngineWanted,
  HostRevision,
  MembershipDelta,
  MembershipDigest,
  MembershipVersions,
  MembershipWanted,
} from '../membership/types.ts';
import {
  EpochSeen,
  Handover,
  HandoverAsked,
  HandoverTaken,
  PromiseAsked,
  PromiseGiven,
  PromiseRefused,
  ZoneRowSeen,
} from '../ownership/types.ts';

/** Messages between hosts; links validate them before they reach the reducer. */
export const Message = z.discriminatedUnion('type', [
  GrantRequest,
  GrantGiven,
  GrantRefused,
  GrantReleased,
  LoadTokenRequest,
  LoadTokenLoan,
  RevisionPushed,
  RevisionAnnounced,
  RevisionsRequest,
  SnapshotPushed,
  MembershipDelta,
  MembershipDigest,
  MembershipVersions,
  MembershipWanted,
  HostRevision,
  EndpointsLeaving,
  EngineDelta,
  EngineWanted,
  ZoneRowSeen,
  EpochSeen,
  HandoverAsked,
  Handover,
  HandoverTaken,
  PromiseAsked,
  PromiseGiven,
  PromiseRefused,
  SuspectsReported,
  TopicChangesRequest,
  TopicChanges,
  ReaderHeartbeat,
  ReservationRequest,
  ReservationGranted,
  ReservationQueued,
  ReservationRefused,
  ReservationReleased,
  ReservationStarted,
  EngineStatusAnnouncement,
  AdapterWanted,
  StreamsRecorded,
  StreamLookup,
  StreamLookupAnswer,
  EndpointNoticesAnnounced,
  EndpointPaused,
  MembersRowSeen,
  JoinRequest,
  MembersChange,
  RoutingChange,
  TopicAdvance,
  QuotaRequest,
  QuotaAnswer,
  TenantMetered,
]);
export type Message = z.infer<typeof Message>;
