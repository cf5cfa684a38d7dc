import { describe, expect, it } from 'vitest';
import { StreamHosts } from './streamHosts.ts';

const OUT_OF_STEP = 'h0';

// Guards against streams that go on at another version at a host that missed the start of the new one.
describe('a host that does not know the new engines', () => {
  it.each<[string, (hosts: StreamHosts) => void]>([
    [
      'and has no links',
      (hosts) => {
        hosts.muteLinks(OUT_OF_STEP);
        hosts.cutLinks(OUT_OF_STEP);
      },
    ],
    ['and has links that carry nothing', (hosts) => hosts.muteLinks(OUT_OF_STEP)],
  ])('%s resumes no stream at another version', (_name, cut) => {
    const hosts = StreamHosts.create(3, 100_000, true);
    const others = hosts.ids.filter((id) => id !== OUT_OF_STEP);
    cut(hosts);
    for (const id of ['e2', 'e3', 'e4', 'e5'])
      hosts.register({ id, zone: 'z1', softwareVersion: 'v2' }, others);
    const streams = Array.from({ length: 24 }, (_, index) => `s${index}`);
    const begun = streams.map((stream) => hosts.begin(others[0] ?? '', stream).version);
    expect(new Set(begun).has('v2')).toBe(true);
    for (const [index, resumedAttempt] of streams.entries()) {
      const { version } = hosts.resume(OUT_OF_STEP, `r${index}`, { resumedAttempt });
      expect([undefined, begun[index]]).toContain(version);
    }
  });
});
