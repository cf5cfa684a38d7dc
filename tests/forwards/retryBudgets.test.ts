import { describe, expect, it } from 'vitest';
import { consumeServiceRetry, getRetryBudget } from '../../src/forwards/retryBudgets.ts';
import { DirectoryHost, newDirectoryChange, newMembersRow } from '../helpers/directoryHost.ts';

/** Policy of `DirectoryHost`. */
const WINDOW_MS = 10_000;
const SLACK = 50;
const RATIO = 0.2;
const STEP_MS = 100;

/** Hosts that take every retry that their budgets allow. */
class RetryingHosts {
  now = 1_000;
  readonly hosts = new Map<string, DirectoryHost>();
  private readonly retriedAt: number[] = [];
  private readonly requestedAt: number[] = [];
  private epoch = 0;

  private constructor(readonly ids: readonly string[]) {}

  /** Starts `count` hosts that share one members row. */
  static create(count: number): RetryingHosts {
    const simulation = new RetryingHosts(Array.from({ length: count }, (_, index) => `h${index}`));
    for (const id of simulation.ids) simulation.startHost(id);
    return simulation;
  }

  /** Starts a host, or restarts it: its earlier process ends. */
  startHost(id: string, options: { isRowKnown?: boolean } = {}): void {
    const host = DirectoryHost.create(id, 'z1', this.now);
    this.hosts.set(id, host);
    host.configure({ members: options.isRowKnown === false ? [] : this.getMembers() });
    this.linkHosts();
  }

  /** Writes a members row with the hosts `ids`, which all hosts but those in `except` read. */
  changeMembers(ids: readonly string[], except: readonly string[] = []): void {
    this.epoch += 1;
    const version = 100 + this.epoch;
    const row = newMembersRow(
      version,
      ids.map((host) => ({ host })),
    );
    for (const [id, host] of this.hosts) {
      if (except.includes(id)) continue;
      const change = newDirectoryChange('members', version, { type: 'members', row });
      host.answerDirectoryCall('members', [change], version);
    }
  }

  /** Cuts a host off from the directory and from all other hosts. */
  isolate(id: string): void {
    const host = this.hosts.get(id);
    host?.failDirectoryCall('members');
    for (const other of this.ids)
      host?.dispatch({ type: 'linkClosed', host: other, reason: 'cut' });
  }

  /** Lets all hosts retry as often as they may for `ms`; each gets a request every `requestMs`. */
  retryFor(ms: number, requestMs = Infinity): void {
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      this.now += STEP_MS;
      for (const host of this.hosts.values()) this.retryOn(host, elapsed % requestMs === 0);
    }
  }

  /** Returns by how much the retries exceed what is allowed, in the worst span of one window. */
  getWorstExcess(): number {
    const excesses = this.retriedAt.map((from) => {
      const retries = countFrom(this.retriedAt, from);
      const starts = [from, from - WINDOW_MS / 2, from - WINDOW_MS];
      const requests = Math.max(...starts.map((start) => countFrom(this.requestedAt, start)));
      return retries - (RATIO * requests + SLACK);
    });
    return Math.max(-SLACK, ...excesses);
  }

  get retries(): number {
    return this.retriedAt.length;
  }

  private retryOn(host: DirectoryHost, hasRequest: boolean): void {
    host.now = this.now;
    if (hasRequest) {
      getRetryBudget(host.state, 'desk').addRequest(this.now);
      this.requestedAt.push(this.now);
    }
    while (consumeServiceRetry(host.state, 'desk', this.now)) this.retriedAt.push(this.now);
  }

  private getMembers(): { host: string }[] {
    return this.ids.map((host) => ({ host }));
  }

  private linkHosts(): void {
    for (const [id, host] of this.hosts) {
      for (const other of this.hosts.keys())
        if (other !== id) host.dispatch({ type: 'linkOpened', host: other });
    }
  }
}

function countFrom(times: readonly number[], from: number): number {
  return times.filter((at) => at >= from && at < from + WINDOW_MS).length;
}

describe('the retries of all hosts stay within the budget of the deployment', () => {
  it.each<[string, number, (hosts: RetryingHosts) => void]>([
    [
      'while nothing changes',
      7,
      (hosts) => {
        hosts.retryFor(40_000, 500);
      },
    ],
    [
      'when all hosts are killed and restart several times within one window',
      7,
      (hosts) => {
        hosts.retryFor(15_000, 500);
        for (let kill = 0; kill < 3; kill++) {
          for (const id of hosts.ids) hosts.startHost(id);
          hosts.retryFor(4_000, 500);
        }
        hosts.retryFor(20_000, 500);
      },
    ],
    [
      'in a rolling restart, while hosts leave the members row and join it again',
      7,
      (hosts) => {
        hosts.retryFor(15_000, 500);
        for (const id of hosts.ids) {
          hosts.changeMembers(hosts.ids.filter((other) => other !== id));
          hosts.retryFor(1_000, 500);
          hosts.startHost(id);
          hosts.changeMembers(hosts.ids);
          hosts.retryFor(500, 500);
        }
        hosts.retryFor(20_000, 500);
      },
    ],
    [
      'when most hosts leave the members row at once and go on serving',
      7,
      (hosts) => {
        hosts.retryFor(15_000, 500);
        hosts.changeMembers(['h0']);
        hosts.retryFor(8_000, 500);
      },
    ],
    [
      'when hosts that were cut off and removed from the row go on serving',
      7,
      (hosts) => {
        hosts.retryFor(15_000);
        const cut = ['h2', 'h3', 'h4', 'h5', 'h6'];
        for (const id of cut) hosts.isolate(id);
        hosts.retryFor(3_500);
        hosts.changeMembers(['h0', 'h1'], cut);
        hosts.retryFor(40_000);
      },
    ],
    [
      'before hosts that started have read the members row',
      7,
      (hosts) => {
        for (const id of hosts.ids) hosts.startHost(id, { isRowKnown: false });
        hosts.retryFor(5_000);
      },
    ],
    [
      'when there are more hosts than retries in the slack',
      120,
      (hosts) => {
        hosts.retryFor(15_000);
      },
    ],
  ])('%s', (_name, count, play) => {
    const hosts = RetryingHosts.create(count);
    play(hosts);
    expect(hosts.getWorstExcess()).toBeLessThanOrEqual(0);
  });

  it('lets a host that runs for longer than the window use its share of the slack', () => {
    const hosts = RetryingHosts.create(2);
    hosts.retryFor(9_900);
    const before = hosts.retries;
    hosts.retryFor(1_000);
    expect(hosts.retries - before).toBeGreaterThan(SLACK / 2);
  });
});
