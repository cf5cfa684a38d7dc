import type { AttemptSpec } from '../../src/forwards/types.ts';
import type { EndpointNotice, NoticeEvent } from '../../src/notices/types.ts';

const NONE = { type: 'none' } as const;

/** Returns what an answer says of its endpoint; nothing but what `said` holds. */
export function newNotice(said: Partial<EndpointNotice> = {}): EndpointNotice {
  return { limit: NONE, leaving: NONE, brittle: NONE, pause: NONE, ...said };
}

/** Returns the event that the answer to an attempt says something of its endpoint. */
export function newNoticeEvent(
  { endpoint, endpointStartedAt: startedAt, sentAt }: AttemptSpec,
  said: Partial<EndpointNotice>,
): NoticeEvent {
  return { type: 'noticeRead', endpoint, startedAt, sentAt, notice: newNotice(said) };
}
