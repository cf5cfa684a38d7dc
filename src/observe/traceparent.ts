import { randomBytes } from 'node:crypto';

/** Trace context of a request, as W3C Trace Context defines it. */
export interface TraceContext {
  /** 32 lower-case hex digits. */
  traceId: string;
  /** 16 lower-case hex digits. */
  parentId: string;
  isSampled: boolean;
}

const TRACEPARENT_PATTERN = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const SAMPLED_FLAG = 1;

/** Parses a `traceparent` header; returns undefined if it is malformed and must be ignored. */
export function parseTraceparent(header: string | undefined): TraceContext | undefined {
  const match = TRACEPARENT_PATTERN.exec(header?.trim() ?? '');
  if (match === null) return undefined;
  const [, version = '', traceId = '', parentId = '', flags = '', rest] = match;
  // Version 00 has no additional fields, later versions may have some, and ff is invalid.
  if (version === 'ff' || (version === '00' && rest !== undefined)) return undefined;
  if (/^0+$/.test(traceId) || /^0+$/.test(parentId)) return undefined;
  return { traceId, parentId, isSampled: (parseInt(flags, 16) & SAMPLED_FLAG) === SAMPLED_FLAG };
}

/** Returns the context of a new span: a child of `parent`, or the root of a new trace. */
export function newTraceContext(parent?: TraceContext): TraceContext {
  return {
    traceId: parent?.traceId ?? randomBytes(16).toString('hex'),
    parentId: randomBytes(8).toString('hex'),
    isSampled: parent?.isSampled ?? false,
  };
}

/** Returns the `traceparent` header of a context. */
export function formatTraceparent({ traceId, parentId, isSampled }: TraceContext): string {
  return `00-${traceId}-${parentId}-${isSampled ? '01' : '00'}`;
}
