import { describe, expect, it } from 'vitest';
import { sha256 } from '../../src/base/hash.ts';
import { describeSettingProblems, parseEntrySettings } from '../../src/settings/parse.ts';

const KEY = { name: 'desk', firm: 'atlas', role: 'caller', sha256: sha256('k') };
const REQUIRED = {
  'host-id': 'h1',
  zone: 'casa-a',
  region: 'ma-north',
  'peer-address': '127.0.0.1:8082',
  'table-url': 'http://127.0.0.1:1/',
  'objects-url': 'http://127.0.0.1:2',
  'hosts-url': 'http://127.0.0.1:3',
  keys: JSON.stringify([KEY]),
};

function newArgv(values: Record<string, string>): string[] {
  return Object.entries({ ...REQUIRED, ...values }).map(([name, value]) => `--${name}=${value}`);
}

describe('parseEntrySettings', () => {
  it('prefers a flag to the environment and the environment to the default', () => {
    const settings = parseEntrySettings(newArgv({ 'stall-weight': '1' }), {
      FIREFLYWICK_STALL_WEIGHT: '0.2',
      FIREFLYWICK_LOADS_PER_SECOND: '4',
    }).unwrap();
    expect(settings).toMatchObject({
      host: { id: 'h1' },
      listen: { callers: { host: '0.0.0.0', port: 8080 } },
      platform: { tableUrl: 'http://127.0.0.1:1' },
      access: { keys: [KEY] },
      policy: { stallWeight: 1, loadsPerS: 4 },
      limits: { shutdownMs: 130_000, bodyBytes: 1_048_576, headerBytes: 16_384 },
    });
    expect(settings.host.incarnation).toBeGreaterThan(1_000_000_000);
  });

  it('reports every missing setting in one message', () => {
    const problems = parseEntrySettings([], {}).val as Parameters<
      typeof describeSettingProblems
    >[0];
    const text = describeSettingProblems(problems);
    for (const name of Object.keys(REQUIRED)) expect(text).toContain(`--${name} `);
  });

  // Guards against an invalid value that is accepted or reported without the allowed values.
  it.each([
    ['stall-weight', '1.5', 'from 0'],
    ['stall-weight', '0x1', 'from 0'],
    ['host-id', 'Bad Name', 'lower-case'],
    ['caller-listen', 'localhost:80', 'IP:PORT'],
    ['caller-listen', '1.2.3.4:70000', 'IP:PORT'],
    ['peer-address', '0.0.0.0:8082', 'specific IP'],
    ['source-address', '0.0.0.0', 'specific IP'],
    ['seeds', '127.0.0.1:9001', 'HOST=IP:PORT'],
    ['seeds', 'h2=127.0.0.1:0', 'HOST=IP:PORT'],
    ['seeds', 'h2=0.0.0.0:9001', 'HOST=IP:PORT'],
    ['seeds', 'h2=127.0.0.1:9001,h2=127.0.0.1:9002', 'HOST=IP:PORT'],
    ['seeds', 'h2=127.0.0.1:9001,', 'HOST=IP:PORT'],
    ['table-url', 'ftp://127.0.0.1', 'http or https'],
    ['log-level', 'loud', 'debug, info'],
    ['shutdown-limit', '60s', 'longest request'],
    ['shutdown-limit', '130', 'duration'],
    ['default-deadline', '0s', 'duration'],
    ['body-limit', '1GB', 'size'],
  ])('rejects --%s %s and names the allowed values', (name, value, allowed) => {
    const result = parseEntrySettings(newArgv({ [name]: value }), {});
    expect(result.err).toBe(true);
    const text = describeSettingProblems(
      result.val as Parameters<typeof describeSettingProblems>[0],
    );
    expect(text).toContain(`--${name} = `);
    expect(text).toContain(allowed);
  });

  it.each([
    ['[{"secret"', 'not valid JSON'],
    ['/no/such/file-secret', 'cannot be read (ENOENT)'],
    [JSON.stringify([{ ...KEY, sha256: 'secret' }]), '[0.sha256] 64 lower-case hex digits'],
    [JSON.stringify([KEY, KEY]), 'is used twice'],
  ])('never prints the value of --keys %s', (value, message) => {
    const result = parseEntrySettings(newArgv({ keys: value }), {});
    const text = describeSettingProblems(
      result.val as Parameters<typeof describeSettingProblems>[0],
    );
    expect(text).toContain(message);
    expect(text).not.toContain('secret');
  });

  it.each([
    [['--tabel-url=x'], '--tabel-url is not a known flag'],
    [['--zone=b'], '--zone is given more than once'],
  ])('names the invalid flag in %j', (extra, message) => {
    const result = parseEntrySettings([...newArgv({}), ...extra], {});
    expect(
      describeSettingProblems(result.val as Parameters<typeof describeSettingProblems>[0]),
    ).toContain(message);
  });
});
