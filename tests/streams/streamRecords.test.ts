import { describe, expect, it } from 'vitest';
import {
  MAX_FORMER_VERSIONS,
  MAX_STREAM_RECORDS,
  MAX_STREAM_RECORD_AGE_MS,
} from '../../src/streams/constants.ts';
import { recordFormerVersion } from '../../src/streams/softwareVersions.ts';
import { addStream, findStream } from '../../src/streams/streamRecords.ts';
import type { StreamRecord } from '../../src/streams/types.ts';
import { DirectoryHost, newEndpoint } from '../helpers/directoryHost.ts';

function newRecord(change: Partial<StreamRecord> = {}): StreamRecord {
  const record = { attempt: 'a1', fingerprint: 'p1', service: 'llm', softwareVersion: 'v1' };
  return { ...record, remainingMs: 5_000, ...change };
}

// Guards against records that grow without limit or outlive what they are for.
describe('records of streams', () => {
  it.each<[string, StreamRecord[], number, string | undefined]>([
    ['a record', [newRecord()], 0, 'v1'],
    ['a record that expired', [newRecord()], 5_000, undefined],
    ['a record that was extended', [newRecord(), newRecord({ remainingMs: 9_000 })], 8_000, 'v1'],
    [
      'a record that an older copy does not shorten',
      [newRecord(), newRecord({ remainingMs: 10 })],
      4_000,
      'v1',
    ],
    [
      'a record without a limit in time',
      [newRecord({ remainingMs: Infinity })],
      MAX_STREAM_RECORD_AGE_MS,
      undefined,
    ],
    ['records that differ', [newRecord(), newRecord({ softwareVersion: 'v2' })], 0, undefined],
    ['a record of another request', [newRecord({ fingerprint: 'p2' })], 0, undefined],
  ])('%s', (_name, records, laterMs, version) => {
    const { state } = DirectoryHost.create();
    for (const record of records) addStream(state, record, 1_000);
    expect(findStream(state, 'a1', 'p1', 1_000 + laterMs)?.softwareVersion).toBe(version);
  });

  it('drops the least recently updated beyond the limit', () => {
    const { state } = DirectoryHost.create();
    for (let index = 0; index < MAX_STREAM_RECORDS; index++)
      addStream(state, newRecord({ attempt: `a${index}` }), 1_000);
    addStream(state, newRecord({ attempt: 'a0' }), 1_000);
    addStream(state, newRecord({ attempt: 'new' }), 1_000);
    expect(state.streams.records.size).toBe(MAX_STREAM_RECORDS);
    expect(findStream(state, 'a1', 'p1', 1_000)).toBeUndefined();
    expect(findStream(state, 'a0', 'p1', 1_000)?.softwareVersion).toBe('v1');
  });
});

it('keeps the last former software versions of a service only', () => {
  const { state } = DirectoryHost.create();
  for (let index = 0; index <= MAX_FORMER_VERSIONS; index++)
    recordFormerVersion(state, newEndpoint({ softwareVersion: `v${index}` }), 1_000);
  const versions = [...(state.streams.formerVersions.get('desk')?.keys() ?? [])];
  expect(versions).toHaveLength(MAX_FORMER_VERSIONS);
  expect(versions).not.toContain('v0');
});
