import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { VersionSplit, VersionSplitsRow } from '../../src/streams/types.ts';
import { deriveStreamVersion, getSplitVersion } from '../../src/streams/versionSplits.ts';
import { DirectoryHost, newDirectoryChange, newEndpoint } from '../helpers/directoryHost.ts';
import { StreamHosts } from './streamHosts.ts';

const CLOCK_MS = 1_000_000;
const WINDOW_MS = 24_000;
const ATTEMPTS = 2_000;
/** Time within which hosts learn of a change of the row. */
const LAG_MS = 2_000;

/** Returns a split of v1 and v2 in which v1 has `share`. */
function newSplit(since: number, share: number): VersionSplit {
  const shares = [
    { version: 'v1', share },
    { version: 'v2', share: 1 - share },
  ];
  return { since, shares: shares.filter((each) => each.share > 0) };
}

function newRow(splits: VersionSplit[]): VersionSplitsRow {
  return { services: splits.length === 0 ? [] : [{ service: 'llm', splits }] };
}

/** A host that has read the row, and endpoints of `versions`, when the directory's clock showed `clockMs`. */
function createHost(row: VersionSplitsRow, clockMs: number | undefined, versions = ['v1', 'v2']) {
  const host = DirectoryHost.create().configure({
    routes: [{ kind: 'stream', isResumable: true, targets: [{ service: 'llm', weight: 1 }] }],
    endpoints: versions.map((softwareVersion, index) => ({
      id: `e${index}`,
      service: 'llm',
      softwareVersion,
    })),
  });
  const change = newDirectoryChange('versionSplits', 30, { type: 'versionSplits', row });
  const changes = row.services.length === 0 ? [] : [change];
  return host.answerDirectoryCall('members', changes, 30, false, clockMs);
}

/** Returns the share of attempts of which a host that has just started knows the version. */
function getDerivedShare(splits: VersionSplit[], versions?: string[]): number {
  const host = createHost(newRow(splits), CLOCK_MS, versions);
  const derived = Array.from({ length: ATTEMPTS }, (_, index) =>
    deriveStreamVersion(host.state, 'llm', `a${index}`, WINDOW_MS, host.now),
  );
  return derived.filter((version) => version !== undefined).length / ATTEMPTS;
}

describe('the version of a stream is known by the name of its attempt', () => {
  it.each<[string, VersionSplit[], number]>([
    ['after a long time with one split', [newSplit(0, 1), newSplit(CLOCK_MS - 60_000, 0.5)], 1],
    [
      'right after half of the endpoints changed',
      [newSplit(0, 1), newSplit(CLOCK_MS - 10_000, 0.5)],
      0.5,
    ],
    [
      'right after a third of the endpoints changed',
      [newSplit(0, 1), newSplit(CLOCK_MS - 10_000, 2 / 3)],
      2 / 3,
    ],
    [
      'right after the last endpoints of a version left',
      [newSplit(0, 0.5), newSplit(CLOCK_MS - 10_000, 0)],
      0.5,
    ],
    [
      'when the versions were mixed from a time within the window',
      [newSplit(CLOCK_MS - 5_000, 0.5)],
      0,
    ],
  ])('%s', (_name, splits, share) => {
    expect(Math.abs(getDerivedShare(splits) - share)).toBeLessThan(0.05);
  });

  it('when the service never had another version', () => {
    expect(getDerivedShare([], ['v1', 'v1'])).toBe(1);
    expect(getDerivedShare([], ['v1', 'v2'])).toBe(0);
  });

  it('but not when the directory tells no time', () => {
    const host = createHost(newRow([newSplit(0, 1)]), undefined, ['v1']);
    expect(deriveStreamVersion(host.state, 'llm', 'a1', WINDOW_MS, host.now)).toBeUndefined();
  });
});

it.each([0.1, 0.25, 0.5, 0.9])('versions get their share of the streams: %d', (share) => {
  const host = createHost(newRow([newSplit(0, share)]), CLOCK_MS);
  const chosen = Array.from({ length: ATTEMPTS }, (_, index) =>
    getSplitVersion(host.state, 'llm', `b${index}`),
  );
  const first = chosen.filter((version) => version === 'v1').length / ATTEMPTS;
  expect(Math.abs(first - share)).toBeLessThan(0.04);
});

describe('a host writes the shares of software versions', () => {
  it.each<[string, string[], VersionSplit[], boolean]>([
    ['not while there is one version', ['v1', 'v1'], [], false],
    ['when there are two', ['v1', 'v2'], [], true],
    ['not when they are as in the row', ['v1', 'v2'], [newSplit(1, 0.5)], false],
    ['not when they are nearly so', ['v1', 'v2', 'v2'], [newSplit(1, 0.5)], false],
    ['when they are others', ['v1', 'v2', 'v2', 'v2', 'v2'], [newSplit(1, 0.5)], true],
    ['when one is left', ['v2', 'v2'], [newSplit(1, 0.5)], true],
    ['not when none is left', [], [newSplit(1, 0.5)], false],
  ])('%s', (_name, versions, splits, isWritten) => {
    const host = createHost(newRow(splits), CLOCK_MS, versions);
    host.advance(1_000);
    expect(host.takeRowWrites('versionSplits')).toHaveLength(isWritten ? 1 : 0);
  });

  it('when the only version was replaced by another one', () => {
    const host = createHost(newRow([]), CLOCK_MS, ['v1']);
    host.advance(1_000).takeAllEffects();
    const endpoint = newEndpoint({ service: 'llm', startedAt: 2, softwareVersion: 'v2' });
    const change = newDirectoryChange('e0', 50, { type: 'endpoint', endpoint });
    host.answerDirectoryCall('endpoints', [change], 50);
    host.advance(1_000);
    const [written] = host.takeRowWrites('versionSplits');
    const shares = written?.row.services[0]?.splits.map((split) => split.shares[0]?.version);
    expect(shares).toEqual(['v1', 'v2']);
  });
});

// Guards against streams that go on at another version than the one that began them.
it('no stream is derived to another version than the one that began it', () => {
  const steps = fc.array(
    fc.record({
      afterMs: fc.integer({ min: 300, max: 40_000 }),
      share: fc.constantFrom(0, 1 / 3, 1 / 2, 2 / 3, 1),
    }),
    { minLength: 1, maxLength: 6 },
  );
  fc.assert(
    fc.property(
      steps,
      fc.integer({ min: 0, max: 60_000 }),
      fc.integer({ min: 0, max: WINDOW_MS }),
      fc.integer({ min: 0, max: LAG_MS - 1 }),
      fc.string({ minLength: 1, maxLength: 16 }),
      (changes, afterLastMs, resumedAfterMs, lagMs, attempt) => {
        const splits = [newSplit(0, 1)];
        let clock = CLOCK_MS;
        for (const { afterMs, share } of changes) {
          clock += afterMs;
          splits.push(newSplit(clock, share));
        }
        const resumedAt = clock + afterLastMs;
        const begunAt = resumedAt - resumedAfterMs;
        // The host that began the stream knew the row of a short time before.
        const known = splits.filter(({ since }) => since <= begunAt - lagMs);
        const former = createHost(newRow(known), begunAt);
        const begun = getSplitVersion(former.state, 'llm', attempt);
        const host = createHost(newRow(splits), resumedAt);
        const derived = deriveStreamVersion(host.state, 'llm', attempt, WINDOW_MS, host.now);
        expect([undefined, begun]).toContain(derived);
      },
    ),
    { numRuns: 500, seed: 47 },
  );
});

// Guards against streams that are refused after the hosts that know them lost power together.
describe('streams go on at their version after all hosts restarted at once', () => {
  it.each<[string, (hosts: StreamHosts) => void, number]>([
    ['with one version', () => undefined, 1],
    [
      'with two versions for a long time',
      (hosts) => {
        hosts.register({ id: 'e2', zone: 'z1', softwareVersion: 'v2' });
        hosts.register({ id: 'e3', zone: 'z2', softwareVersion: 'v2' });
        hosts.advance(40_000);
      },
      1,
    ],
    [
      'shortly after a second version came',
      (hosts) => {
        hosts.register({ id: 'e2', zone: 'z1', softwareVersion: 'v2' });
        hosts.advance(3_000);
      },
      0.5,
    ],
  ])('%s', (_name, prepare, leastShare) => {
    const hosts = StreamHosts.create(7, 100_000, true);
    prepare(hosts);
    const streams = Array.from({ length: 60 }, (_, index) => `s${index}`);
    const begun = new Map(streams.map((stream) => [stream, hosts.begin('h0', stream).version]));
    for (const id of hosts.ids) hosts.kill(id);
    for (const id of hosts.ids) hosts.restart(id);
    let resumed = 0;
    for (const stream of streams) {
      const { version } = hosts.resume('h3', `${stream}r`, { resumedAttempt: stream });
      if (version === undefined) continue;
      expect(version).toBe(begun.get(stream));
      resumed += 1;
    }
    expect(resumed / streams.length).toBeGreaterThanOrEqual(leastShare);
  });
});
