import { describe, expect, it } from 'vitest';
import type { RequestLabels } from '../../src/forwards/types.ts';
import { StreamHosts } from './streamHosts.ts';

const HOSTS = 7;
const STREAMS = 24;

/** Adds endpoints of v2 that hosts prefer, as they are in their zones. */
function addOtherVersion(hosts: StreamHosts): void {
  hosts.register({ id: 'e2', zone: 'z1', softwareVersion: 'v2' });
  hosts.register({ id: 'e3', zone: 'z2', softwareVersion: 'v2' });
}

function restartAll(hosts: StreamHosts): void {
  for (const id of hosts.ids) hosts.restart(id);
}

// Guards against streams that hold events of two software versions, and against resumed streams that are
// refused though hosts know their version.
describe('streams that callers resume', () => {
  /** What happens between the first event and the next attempt, and the least share that goes on. */
  const cases: [string, (hosts: StreamHosts) => void, string, number][] = [
    ['at the same host', () => undefined, 'h0', 1],
    ['at another host', () => undefined, 'h1', 1],
    ['in another zone', () => undefined, 'h5', 1],
    ['after the host that began them was killed', (hosts) => hosts.kill('h0'), 'h1', 1],
    ['at the host that began them after its restart', (hosts) => hosts.restart('h0'), 'h0', 1],
    [
      'after two hosts were killed',
      (hosts) => {
        hosts.kill('h0');
        hosts.kill('h2');
      },
      'h1',
      1,
    ],
    [
      'after all hosts restarted one after another',
      (hosts) => {
        for (const id of hosts.ids) {
          hosts.restart(id);
          hosts.advance(500);
        }
      },
      'h3',
      1,
    ],
    ['after all hosts restarted at once', restartAll, 'h3', 0],
    [
      'at a host that was cut off',
      (hosts) => {
        hosts.cutLinks('h1');
      },
      'h1',
      0,
    ],
    [
      'at a host that was cut off after it began them',
      (hosts) => {
        hosts.cutLinks('h0');
      },
      'h0',
      1,
    ],
    ['while the directory is unavailable', (hosts) => hosts.failDirectory(), 'h1', 1],
    [
      'after a host of an earlier version replaced one',
      (hosts) => {
        hosts.isDropped = (to, { type }) => to === 'h2' && type.startsWith('stream');
        hosts.restart('h2');
      },
      'h1',
      1,
    ],
  ];

  it.each(cases)('go on at their version: %s', (_name, happen, host, leastShare) => {
    const hosts = StreamHosts.create(HOSTS);
    for (let stream = 0; stream < STREAMS; stream++)
      expect(hosts.begin('h0', `a${stream}`).version).toBe('v1');
    addOtherVersion(hosts);
    happen(hosts);
    const resumed = Array.from({ length: STREAMS }, (_, stream) =>
      hosts.resume(host, `b${stream}`, { resumedAttempt: `a${stream}` }),
    );
    expect(resumed.filter(({ version }) => version === 'v2')).toEqual([]);
    const goingOn = resumed.filter(({ version }) => version === 'v1').length;
    expect(goingOn).toBeGreaterThanOrEqual(STREAMS * leastShare);
    const refused = resumed.filter(({ version }) => version === undefined);
    expect(refused.every(({ refusal }) => refusal === 'service_unavailable')).toBe(true);
    // New streams are placed as if there were no versions.
    expect(hosts.begin(host, 'n1').version).toBe('v2');
  });

  it.each<[string, Partial<RequestLabels>, string | undefined]>([
    ['names two attempts', { resumedAttempt: 'a1, a2' }, 'bad_request'],
    ['names no attempt', { resumedAttempt: '' }, 'bad_request'],
    ['names an unknown attempt', { resumedAttempt: 'a9' }, 'service_unavailable'],
    ['names none beside a last event id', {}, 'service_unavailable'],
  ])('are refused if the caller %s', (_name, labels, refusal) => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    expect(hosts.resume('h1', 'b1', labels)).toEqual({ version: undefined, refusal });
  });

  it.each<[string, number, (hosts: StreamHosts) => void, string | undefined]>([
    ['one version all the while', 100_000, () => undefined, 'v1'],
    ['one version, but the host has just started', 1_000, () => undefined, undefined],
    ['another version now', 100_000, addOtherVersion, undefined],
    [
      'another version shortly before',
      100_000,
      (hosts) => {
        hosts.register({ id: 'e2', softwareVersion: 'v0' });
        hosts.advance(60_000);
        hosts.remove('e2');
      },
      undefined,
    ],
    [
      'another version long before',
      100_000,
      (hosts) => {
        hosts.register({ id: 'e2', softwareVersion: 'v0' });
        hosts.remove('e2');
        hosts.advance(60_000);
      },
      'v1',
    ],
    ['an unavailable directory', 100_000, (hosts) => hosts.failDirectory(), undefined],
  ])(
    'of which nothing is known go on only if the service had %s',
    (_name, ageMs, happen, version) => {
      const hosts = StreamHosts.create(HOSTS, ageMs);
      happen(hosts);
      for (const labels of [{}, { resumedAttempt: 'a9' }])
        expect(hosts.resume('h1', 'b1', labels).version).toBe(version);
    },
  );

  it('wait until a host that has just started has links', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    hosts.restart('h1');
    expect(hosts.resume('h1', 'b1', { resumedAttempt: 'a1' }).version).toBe('v1');
  });

  it('go on at the version that began them when they were resumed before', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    for (const [index, host] of hosts.ids.entries())
      expect(hosts.resume(host, `b${index}`, { resumedAttempt: 'a1' }).version).toBe('v1');
  });

  it('are refused at once if no endpoint of their version is left', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    hosts.remove('e0');
    hosts.remove('e1');
    const resumed = hosts.resume('h1', 'b1', { resumedAttempt: 'a1' });
    expect(resumed).toEqual({ version: undefined, refusal: 'service_unavailable' });
  });
});

// Guards against streams of an endpoint that came back under its id with other software.
describe('streams of an endpoint that restarts with another version', () => {
  const RESTARTED = { startedAt: 2, softwareVersion: 'v2' };

  it.each<[string, (hosts: StreamHosts) => void, string, string | undefined]>([
    [
      'go on at another endpoint of their version',
      (hosts) => {
        hosts.endAttempt('h0');
        hosts.register({ id: 'e0', ...RESTARTED });
      },
      'h1',
      'v1',
    ],
    [
      'are refused if it is not known which process ran them',
      (hosts) => hosts.register({ id: 'e0', ...RESTARTED }),
      'h1',
      undefined,
    ],
    [
      'are refused also at the host that began them',
      (hosts) => hosts.register({ id: 'e0', ...RESTARTED }),
      'h0',
      undefined,
    ],
    [
      'go on if it restarts with the same version',
      (hosts) => hosts.register({ id: 'e0', startedAt: 2, softwareVersion: 'v1' }),
      'h1',
      'v1',
    ],
  ])('%s', (_name, happen, host, version) => {
    const hosts = StreamHosts.create(HOSTS);
    // Only one endpoint can begin the stream.
    hosts.register({ id: 'e1', softwareVersion: 'v1', isLeaving: true });
    hosts.begin('h0', 'a1');
    hosts.register({ id: 'e4', softwareVersion: 'v1' });
    happen(hosts);
    expect(hosts.resume(host, 'b1', { resumedAttempt: 'a1' }).version).toBe(version);
  });

  it('are ended by their host if it is not known which process ran them', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.register({ id: 'e1', softwareVersion: 'v1', isLeaving: true });
    hosts.begin('h0', 'a1');
    hosts.register({ id: 'e4', softwareVersion: 'v1' });
    hosts.register({ id: 'e0', ...RESTARTED });
    expect(hosts.break('h0', '2')).toEqual({ version: undefined, refusal: 'outcome_unknown' });
  });

  it('are refused at once if the last endpoint of their version refuses connections', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.register({ id: 'e1', softwareVersion: 'v1', isLeaving: true });
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    hosts.refuseConnections('h1', 'e0');
    const resumed = hosts.resume('h1', 'b1', { resumedAttempt: 'a1' });
    expect(resumed).toEqual({ version: undefined, refusal: 'service_unavailable' });
  });
});

describe('streams that their host resumes', () => {
  it('go on at their version', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    expect(hosts.break('h0', '2').version).toBe('v1');
  });

  it('are ended at once if no endpoint of their version is left', () => {
    const hosts = StreamHosts.create(HOSTS);
    hosts.begin('h0', 'a1');
    addOtherVersion(hosts);
    hosts.remove('e0');
    hosts.remove('e1');
    expect(hosts.break('h0', '2')).toEqual({ version: undefined, refusal: 'outcome_unknown' });
  });
});
