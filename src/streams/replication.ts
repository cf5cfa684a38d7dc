import { hash32 } from '../base/hash.ts';
import type { Effect } from '../core/effects.ts';
import { sendMessage } from '../core/sendMessage.ts';
import type { State } from '../core/state.ts';
import {
  LOOKUP_HOSTS_IN_OTHER_ZONES,
  LOOKUP_HOSTS_IN_ZONE,
  MAX_HOST_HASHES,
  MAX_SENT_STREAM_RECORDS,
  RECORD_COPIES_IN_OTHER_ZONES,
  RECORD_COPIES_IN_ZONE,
} from './constants.ts';
import { addStream, newStreamRecord } from './streamRecords.ts';
import type { StreamRecord, Streams } from './types.ts';

/** Keeps a record on this host and copies it to others, so that it outlasts this process. */
export function replicateStream(state: State, record: StreamRecord, now: number): Effect[] {
  const stream = newStreamRecord(addStream(state, record, now), now);
  return getCopyHosts(state, stream.attempt).map((host) =>
    sendMessage(state, host, { type: 'streamsRecorded', streams: [stream] }),
  );
}

/** Sends a host whose link opened the newest records of which it should have a copy. */
export function sendKnownStreams(state: State, host: string, now: number): Effect[] {
  const newest = [...state.streams.records.values()].slice(-MAX_SENT_STREAM_RECORDS);
  const streams = newest
    .filter(({ expiresAt }) => expiresAt > now)
    .filter(({ attempt }) => getCopyHosts(state, attempt).includes(host))
    .map((known) => newStreamRecord(known, now));
  if (streams.length === 0) return [];
  return [sendMessage(state, host, { type: 'streamsRecorded', streams })];
}

/** Returns the linked hosts that may have the record of a stream that another host began. */
export function getLookupHosts(state: State, attempt: string): string[] {
  return chooseHosts(state, attempt, LOOKUP_HOSTS_IN_ZONE, LOOKUP_HOSTS_IN_OTHER_ZONES);
}

/** Returns the linked hosts that get copies of a record. */
function getCopyHosts(state: State, attempt: string): string[] {
  return chooseHosts(state, attempt, RECORD_COPIES_IN_ZONE, RECORD_COPIES_IN_OTHER_ZONES);
}

/**
 * Returns the linked hosts of each zone that are closest to an attempt by the XOR of the hashes of their
 * ids, so that hosts choose mostly the same ones although they don't see the same members.
 */
function chooseHosts(
  { host, owners, streams }: State,
  attempt: string,
  inZone: number,
  inOtherZones: number,
): string[] {
  const hash = hash32(attempt);
  const order = [...owners.linkedHosts]
    .map((linked) => ({ linked, distance: (hash ^ getHostHash(streams, linked)) >>> 0 }))
    .sort((a, b) => a.distance - b.distance)
    .map(({ linked }) => linked);
  const members = owners.row?.members ?? [];
  const zoneHosts = new Set(
    members.filter(({ zone }) => zone === host.zone).map((member) => member.host),
  );
  return [
    ...order.filter((linked) => zoneHosts.has(linked)).slice(0, inZone),
    ...order.filter((linked) => !zoneHosts.has(linked)).slice(0, inOtherZones),
  ];
}

/** Returns the hash of a host's id, which is kept, since it is needed for each stream. */
function getHostHash({ hostHashes }: Streams, host: string): number {
  const known = hostHashes.get(host);
  if (known !== undefined) return known;
  if (hostHashes.size >= MAX_HOST_HASHES) hostHashes.clear();
  const hash = hash32(host);
  hostHashes.set(host, hash);
  return hash;
}
