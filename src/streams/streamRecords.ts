import type { State } from '../core/state.ts';
import { MAX_STREAM_RECORD_AGE_MS, MAX_STREAM_RECORDS } from './constants.ts';
import type { KnownStream, StreamRecord } from './types.ts';

/** Returns the record of the stream that `attempt` began with a request of `fingerprint`. */
export function findStream(
  { streams }: State,
  attempt: string,
  fingerprint: string,
  now: number,
): KnownStream | undefined {
  const known = streams.records.get(getKey(attempt, fingerprint));
  return known === undefined || known.expiresAt <= now ? undefined : known;
}

/**
 * Adds or updates a record and drops the least recently updated ones beyond the limit. Records of one
 * stream with different software versions leave its version unknown. Returns the record.
 */
export function addStream({ streams }: State, record: StreamRecord, now: number): KnownStream {
  const { remainingMs, ...stream } = record;
  const key = getKey(stream.attempt, stream.fingerprint);
  const known = streams.records.get(key);
  const isContradicted = known !== undefined && known.softwareVersion !== stream.softwareVersion;
  const updated: KnownStream = {
    ...stream,
    softwareVersion: isContradicted ? undefined : stream.softwareVersion,
    expiresAt: Math.max(
      known?.expiresAt ?? 0,
      now + Math.min(Math.max(0, remainingMs), MAX_STREAM_RECORD_AGE_MS),
    ),
  };
  streams.records.delete(key);
  streams.records.set(key, updated);
  dropOldRecords(streams.records, now);
  return updated;
}

/** Returns a record as it is sent to other hosts. */
export function newStreamRecord({ expiresAt, ...stream }: KnownStream, now: number): StreamRecord {
  return { ...stream, remainingMs: Math.round(expiresAt - now) };
}

function dropOldRecords(records: Map<string, KnownStream>, now: number): void {
  for (const [key, { expiresAt }] of records) {
    if (expiresAt > now && records.size <= MAX_STREAM_RECORDS) return;
    records.delete(key);
  }
}

function getKey(attempt: string, fingerprint: string): string {
  return `${attempt} ${fingerprint}`;
}
