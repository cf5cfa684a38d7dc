import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { VersionSplit, VersionSplitsRow } from '../../src/streams/types.ts';
import { deriveStreamVersion, filterByVersionSplit } from '../../src/streams/versionSplits.ts';
import {
  DirectoryHost,
  newDirectoryChange,
  newEndpoint,
  newRoutingContent,
} from '../helpers/directoryHost.ts';
import { StreamHosts } from './streamHosts.ts';

const CLOCK_MS = 1_000_000;
const WINDOW_MS = 24_000;
const ATTEMPTS = 2_000;
/** Time within which hosts learn of a change of the row. */
const LAG_MS = 2_000;
/** Times that a caller returns before it gives up. */
const CALLER_RETRIES = 3;

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

/** Returns the split that a host writes when it learns of v2, or none. */
function takeWrittenSplit(host: DirectoryHost): VersionSplit | undefined {
  const endpoint = newEndpoint({ id: 'e2', service: 'llm', softwareVersion: 'v2' });
  const change = newDirectoryChange('e2', 50, { type: 'endpoint', endpoint });
  host.answerDirectoryCall('endpoints', [change], 50).advance(1_000);
  return host.takeRowWrites('versionSplits')[0]?.row.services[0]?.splits.at(-1);
}

/** Returns the software version on which a host lets the stream of an attempt begin. */
function getFirstVersion({ state, now }: DirectoryHost, attempt: string): string | undefined {
  const views = [...state.fleet.views.values()];
  const [view] = filterByVersionSplit(state, 'llm', attempt, views, now);
  return view?.endpoint.softwareVersion;
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
    expect(getDerivedShare([newSplit(0, 1)], ['v1', 'v1'])).toBe(1);
  });

  it('but not while an endpoint has a version that the row does not name', () => {
    expect(getDerivedShare([newSplit(0, 1)], ['v2', 'v2'])).toBe(0);
    expect(getDerivedShare([newSplit(0, 1)], ['v1', 'v2'])).toBe(0);
  });

  it('but not while there is no row', () => {
    expect(getDerivedShare([], ['v1', 'v1'])).toBe(0);
    expect(getDerivedShare([], ['v1', 'v2'])).toBe(0);
  });

  it('but not when the directory tells no time', () => {
    const host = createHost(newRow([newSplit(0, 1)]), undefined, ['v1']);
    expect(deriveStreamVersion(host.state, 'llm', 'a1', WINDOW_MS, host.now)).toBeUndefined();
  });
});

it.each([0.1, 0.25, 0.5, 0.9])('versions get their share of the streams: %d', (share) => {
  const host = createHost(newRow([newSplit(0, share)]), CLOCK_MS);
  const chosen = Array.from({ length: ATTEMPTS }, (_, index) => getFirstVersion(host, `b${index}`));
  const first = chosen.filter((version) => version === 'v1').length / ATTEMPTS;
  expect(Math.abs(first - share)).toBeLessThan(0.04);
});

describe('a host writes the shares of software versions', () => {
  it.each<[string, string[], VersionSplit[], boolean]>([
    ['when there is no row', ['v1', 'v1'], [], true],
    ['not while there is one version', ['v1', 'v1'], [newSplit(0, 1)], false],
    ['when there are two', ['v1', 'v2'], [newSplit(0, 1)], true],
    ['when there are two and no row', ['v1', 'v2'], [], true],
    ['not when there are no endpoints and no row', [], [], false],
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

  it.each<[string, string[], boolean]>([
    ['from the beginning while it saw one version only', ['v1', 'v1'], true],
    ['from now on when it sees two', ['v1', 'v2'], false],
  ])('%s', (_name, versions, isFromBeginning) => {
    const host = createHost(newRow([]), CLOCK_MS, versions).advance(1_000);
    const [written] = host.takeRowWrites('versionSplits');
    const since = written?.row.services[0]?.splits.map((split) => split.since === 0);
    expect(since).toEqual([isFromBeginning]);
  });

  it('when the only version was replaced by another one', () => {
    const host = createHost(newRow([newSplit(0, 1)]), CLOCK_MS, ['v1']);
    host.advance(1_000).takeAllEffects();
    const endpoint = newEndpoint({ service: 'llm', startedAt: 2, softwareVersion: 'v2' });
    const change = newDirectoryChange('e0', 50, { type: 'endpoint', endpoint });
    host.answerDirectoryCall('endpoints', [change], 50);
    host.advance(1_000);
    const [written] = host.takeRowWrites('versionSplits');
    const shares = written?.row.services[0]?.splits.map((split) => split.shares[0]?.version);
    expect(shares).toEqual(['v1', 'v2']);
  });

  it('when routes of resumable streams come after the endpoints', () => {
    const host = DirectoryHost.create().configure({ endpoints: [{ softwareVersion: 'v1' }] });
    host.answerDirectoryCall('members', [], 30, false, CLOCK_MS).advance(1_000);
    expect(host.takeRowWrites('versionSplits')).toEqual([]);
    const content = newRoutingContent(2, [{ kind: 'stream', isResumable: true }]);
    host.answerDirectoryCall('operator', [newDirectoryChange('config', 40, content)], 40);
    host.advance(1_000);
    expect(host.takeRowWrites('versionSplits')).toHaveLength(1);
  });

  it('again, with what it knew, when the directory has lost them', () => {
    const row = newRow([newSplit(0, 1), newSplit(1, 0.5)]);
    const host = createHost(row, CLOCK_MS).advance(1_000);
    host.takeAllEffects();
    const removed = newDirectoryChange('versionSplits', 50, { type: 'removed' });
    host.answerDirectoryCall('members', [removed], 50).advance(1_000);
    const [written] = host.takeRowWrites('versionSplits');
    expect(written).toMatchObject({ row, version: 0 });
  });
});

// Guards against a split that seems older than it is, so that the one before it is left out of account.
describe('a split does not begin before it is written', () => {
  it.each([0, 5_000])('by a host whose last answer arrived %d ms late', (lateMs) => {
    const host = createHost(newRow([newSplit(0, 1)]), undefined, ['v1', 'v1']);
    host.advance(2_000);
    const { callStartedAt } = host.state.directory.topics.members;
    host.now += lateMs;
    host.answerDirectoryCall('members', [], 31, false, CLOCK_MS);
    const split = takeWrittenSplit(host);
    // The directory may have answered when the call was made.
    expect(split?.since).toBeGreaterThanOrEqual(CLOCK_MS + lateMs);
    expect(split?.since).toBeLessThanOrEqual(CLOCK_MS + (host.now - callStartedAt) * 1.01);
  });

  it('by a host whose clock stood still until it has asked again', () => {
    const host = createHost(newRow([newSplit(0, 1)]), CLOCK_MS, ['v1', 'v1']);
    host.dispatch({ type: 'clockJumped' });
    expect(takeWrittenSplit(host)).toBeUndefined();
    host.answerDirectoryCall('members', [], 51, false, CLOCK_MS + 60_000).advance(1_000);
    const [written] = host.takeRowWrites('versionSplits');
    expect(written?.row.services[0]?.splits.at(-1)?.since).toBeGreaterThanOrEqual(
      CLOCK_MS + 60_000,
    );
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
        const begun = getFirstVersion(former, attempt);
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

/** Begins streams at all hosts, lets all restart at once, and expects that none goes on at another version. */
function expectNoMixture(
  hosts: StreamHosts,
  count: number,
  whileStopped: (hosts: StreamHosts) => void = () => undefined,
): void {
  const streams = Array.from({ length: count }, (_, index) => `m${index}`);
  const begun = new Map(
    streams.map((stream, index) => [
      stream,
      hosts.begin(hosts.ids[index % hosts.ids.length] ?? '', stream).version,
    ]),
  );
  hosts.advance(2_000);
  for (const id of hosts.ids) hosts.kill(id);
  whileStopped(hosts);
  for (const id of hosts.ids) hosts.restart(id);
  // A caller whose stream was refused has no event from which it could take it up.
  for (const stream of streams.filter((each) => begun.get(each) !== undefined)) {
    const { version } = hosts.resume('h0', `${stream}r`, { resumedAttempt: stream });
    if (version !== undefined) expect(version, stream).toBe(begun.get(stream));
  }
}

const replaceVersion = (hosts: StreamHosts): void => {
  for (const id of ['e0', 'e1']) hosts.registerAtOnce({ id, startedAt: 2, softwareVersion: 'v2' });
};

/** Engines `ids` of v2 serve for a long time beside two of v1, and refuse connections from then on. */
function crashEngines(hosts: StreamHosts, ids: readonly string[]): void {
  for (const id of ids) hosts.register({ id, zone: 'z9', softwareVersion: 'v2' });
  hosts.advance(40_000);
  for (const host of hosts.ids) for (const id of ids) hosts.refuseConnections(host, id);
}

const crashOnlyEngine = (hosts: StreamHosts): void => crashEngines(hosts, ['e2']);
const crashBothEngines = (hosts: StreamHosts): void => crashEngines(hosts, ['e2', 'e3']);

// Guards against streams that begin on a version that the row does not tell, so that it is derived wrongly.
describe('no stream goes on at another version after all hosts restarted at once', () => {
  const addOther = (hosts: StreamHosts): void => {
    hosts.registerAtOnce({ id: 'e2', zone: 'z1', softwareVersion: 'v2' });
    hosts.registerAtOnce({ id: 'e3', zone: 'z2', softwareVersion: 'v2' });
  };
  it.each<[string, number, (hosts: StreamHosts) => void]>([
    ['that began when a second version had just come, at one host', 1, addOther],
    ['that began when a second version had just come, at three', 3, addOther],
    ['that began when a second version had just come, at seven', 7, addOther],
    [
      'that began when the first version had just gone',
      7,
      (hosts) => {
        hosts.register({ id: 'e2', zone: 'z1', softwareVersion: 'v2' });
        hosts.advance(40_000);
        hosts.remove('e0');
        hosts.remove('e1');
      },
    ],
    [
      'that began after all hosts had restarted with two versions',
      7,
      (hosts) => {
        addOther(hosts);
        hosts.advance(40_000);
        for (const id of hosts.ids) hosts.kill(id);
        for (const id of hosts.ids) hosts.restart(id);
      },
    ],
    ['that began while the only engine of a version was down', 7, crashOnlyEngine],
    ['that began while all engines of a version were down', 7, crashBothEngines],
    [
      'that began while the entry of the only engine of a version had just gone',
      7,
      (hosts) => {
        crashOnlyEngine(hosts);
        hosts.remove('e2');
      },
    ],
  ])('%s', (_name, count, prepare) => {
    const hosts = StreamHosts.create(count, 100_000, true);
    prepare(hosts);
    expectNoMixture(hosts, 48);
  });

  it.each([1, 3, 7])('whose version was replaced while %d hosts were stopped', (count) => {
    expectNoMixture(StreamHosts.create(count, 100_000, true), 12, replaceVersion);
  });
});

it.each<[string, number | undefined]>([
  ['', CLOCK_MS],
  [' and knows no clock of the directory', undefined],
])(
  'a host that has not read the row%s begins no resumable stream beside two versions',
  (_name, clockMs) => {
    const host = DirectoryHost.create();
    const route = { kind: 'stream' as const, isResumable: true };
    const content = newRoutingContent(1, [route]);
    const routing = [newDirectoryChange('config', 1, content)];
    host.answerDirectoryCall('operator', routing, 1, true, clockMs);
    const endpoints = ['v1', 'v2'].map((softwareVersion, index) => {
      const endpoint = newEndpoint({ id: `e${index}`, softwareVersion });
      return newDirectoryChange(endpoint.id, 2, { type: 'endpoint', endpoint });
    });
    host.answerDirectoryCall('endpoints', endpoints, 2, true, clockMs);
    host.receiveForward({ labels: { attemptId: 'a1' } });
    expect(host.takeEffects('sendForward')).toEqual([]);
    const row = { services: [{ service: 'desk', splits: [newSplit(0, 0)] }] };
    const change = newDirectoryChange('versionSplits', 3, { type: 'versionSplits', row });
    host.answerDirectoryCall('members', [change], 3, true, clockMs);
    host.advance(200);
    expect(host.takeEffects('sendForward').map(({ spec }) => spec.endpoint)).toEqual(['e1']);
  },
);

// Guards against requests that wait for a version that no endpoint tells.
it.each([1, 3, 7])(
  'streams begin at endpoints that tell no software version and are not derived, %d hosts',
  (count) => {
    const hosts = StreamHosts.create(count, 100_000, true);
    hosts.register({ id: 'e2', zone: 'z1', softwareVersion: undefined });
    hosts.advance(40_000);
    const streams = Array.from({ length: 24 }, (_, index) => `u${index}`);
    const begun = streams.map((stream) => hosts.begin('h0', stream));
    expect(begun.map(({ refusal }) => refusal)).toEqual(streams.map(() => undefined));
    expect(new Set(begun.map(({ version }) => version))).toEqual(new Set(['v1', undefined]));
    for (const id of hosts.ids) hosts.kill(id);
    for (const id of hosts.ids) hosts.restart(id);
    for (const [index, stream] of streams.entries()) {
      const { version } = hosts.resume('h0', `${stream}r`, { resumedAttempt: stream });
      expect(version, stream).toBe(begun[index]?.version);
    }
  },
);

// Guards against callers that wait for engines that are down, and against streams whose version no host can tell.
it('a stream whose version is down is refused at once, and the others begin', () => {
  const hosts = StreamHosts.create(3, 100_000, true);
  crashOnlyEngine(hosts);
  const answers = Array.from({ length: 60 }, (_, index) => {
    const { now } = hosts.hosts.get('h0') ?? { now: 0 };
    const placement = hosts.begin('h0', `n${index}`);
    return { ...placement, waitedMs: (hosts.hosts.get('h0')?.now ?? 0) - now };
  });
  const refused = answers.filter(({ refusal }) => refusal !== undefined);
  expect(refused.length).toBeGreaterThan(10);
  expect(refused.length).toBeLessThan(30);
  expect(refused.filter(({ refusal }) => refusal !== 'service_unavailable')).toEqual([]);
  expect(refused.filter(({ waitedMs }) => waitedMs > 0)).toEqual([]);
  expect(answers.filter(({ version }) => version === 'v1')).toHaveLength(60 - refused.length);
});

it('streams of a service of which all engines are down wait for one to return', () => {
  const hosts = StreamHosts.create(3, 100_000, true);
  for (const host of hosts.ids) for (const id of ['e0', 'e1']) hosts.refuseConnections(host, id);
  expect(hosts.begin('h0', 'w1').refusal).toBeUndefined();
});

// Guards against callers that give up while the engine that began their streams restarts.
it.each([1_000, 2_600, 4_000])(
  'a caller that returns as told takes its stream up after its version was down for %d ms',
  (downMs) => {
    const hosts = StreamHosts.create(3, 100_000, true);
    crashOnlyEngine(hosts);
    hosts.register({ id: 'e2', zone: 'z9', startedAt: 2, softwareVersion: 'v2' });
    const names = Array.from({ length: 20 }, (_, index) => `d${index}`);
    const stream = names.find((name) => hosts.begin('h0', name).version === 'v2') ?? '';
    for (const host of hosts.ids) hosts.refuseConnections(host, 'e2');
    let waitedMs = 0;
    let version: string | undefined;
    for (let retry = 0; retry < CALLER_RETRIES && waitedMs < downMs; retry++) {
      const host = hosts.ids[retry % hosts.ids.length] ?? '';
      const { refusal } = hosts.resume(host, `r${retry}`, { resumedAttempt: stream });
      expect(refusal).toBe('service_unavailable');
      hosts.advance(hosts.lastReturnMs);
      waitedMs += hosts.lastReturnMs;
    }
    if (waitedMs >= downMs) {
      hosts.register({ id: 'e2', zone: 'z9', startedAt: 3, softwareVersion: 'v2' });
      ({ version } = hosts.resume('h0', 'last', { resumedAttempt: stream }));
    }
    expect(version).toBe('v2');
  },
);
