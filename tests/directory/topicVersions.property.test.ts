import { expect, it } from 'vitest';
import { Random } from '../../src/base/random.ts';
import { type DirectoryContent, Topic } from '../../src/directory/types.ts';
import { DirectoryGroup } from '../helpers/directoryGroup.ts';
import { type DirectoryHost, newEndpoint } from '../helpers/directoryHost.ts';

const STEPS = 150;
const MAX_STEP_MS = 200;
/** Share of the steps that change a row; the others disturb hosts and links. */
const CHANGE_SHARE = 0.75;
const MIN_LIVE_HOSTS = 2;

const FIRST_SEED = Number(process.env.SEED ?? 1_000);
const TRIALS = Number(process.env.TRIALS ?? 20);
/** Seeds that once failed, and others. */
const SEEDS = [
  ...[2, 3, 5, 7, 9, 13, 133, 2_025, 2_099, 2_785, 3_340, 3_741, 4_063],
  ...Array.from({ length: TRIALS }, (_, index) => FIRST_SEED + index),
];

/** A group of hosts and what happens to it, in an order that a seed decides. */
class DisturbedGroup {
  readonly group: DirectoryGroup;
  private readonly random: Random;

  private constructor(seed: number) {
    this.random = Random.create(seed);
    this.group = DirectoryGroup.create({ hosts: 4 + this.random.getInteger(4) });
  }

  static create(seed: number): DisturbedGroup {
    return new DisturbedGroup(seed);
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) {
      const kinds = this.random.getFraction() < CHANGE_SHARE ? this.changes : this.faults;
      kinds[this.random.getInteger(kinds.length)]?.();
      this.group.advance(this.random.getInteger(MAX_STEP_MS));
    }
  }

  private readonly changes = [
    () => this.group.confirmRoutes(),
    () => {
      const version = this.random.getInteger(100);
      const key = `version/base.a${this.random.getInteger(3)}`;
      this.group.write('operator', key, { type: 'adapterVersion', adapter: 'base/a1', version });
    },
    () => {
      const id = this.chooseEndpoint();
      const sequence = this.random.getInteger(1_000);
      const isLeaving = this.random.getFraction() < 0.3;
      const endpoint = newEndpoint({ id, sequence, isLeaving });
      this.group.write('endpoints', id, { type: 'endpoint', endpoint });
    },
    () => {
      const id = this.chooseEndpoint();
      const row = this.group.directory.getRows('endpoints').find(({ key }) => key === id);
      if (row?.content.type === 'endpoint') this.group.write('endpoints', id, { type: 'removed' });
    },
  ];

  private readonly faults = [
    () => this.group.freeze(this.chooseTarget(), 200 + this.random.getInteger(1_500)),
    () => {
      const host = this.chooseTarget();
      if (this.group.hosts.size <= MIN_LIVE_HOSTS || !this.group.hosts.has(host)) return;
      this.group.killHost(host);
      this.group.schedule(100 + this.random.getInteger(2_000), () => this.group.startHost(host));
    },
    () => {
      const host = this.chooseTarget();
      this.group.reactions.set(host, this.random.getFraction() < 0.5 ? 'refuses' : 'ignores');
      const lostMs = 300 + this.random.getInteger(4_000);
      this.group.schedule(lostMs, () => this.group.reactions.delete(host));
    },
    () => {
      const [a, b] = [this.chooseHost(), this.chooseHost()];
      if (a !== b) this.group.resetLink(a, b);
    },
    () => {
      if (this.random.getFraction() < 0.1) this.group.directory.dropHistory();
    },
  ];

  private chooseEndpoint(): string {
    return `e${this.random.getInteger(4)}`;
  }

  private chooseHost(): string {
    const { ids } = this.group;
    return ids[this.random.getInteger(ids.length)] ?? '';
  }

  private chooseTarget(): string {
    const reader = this.random.getFraction() < 0.5 ? this.group.getReader() : undefined;
    return reader ?? this.chooseHost();
  }
}

/** Returns the rows that a host lacks although its version of their topic says that it has them. */
function findMissingRows({ state }: DirectoryHost, { directory }: DirectoryGroup): string[] {
  return Topic.options.flatMap((topic) => {
    const { entries, version = 0 } = state.directory.topics[topic];
    return directory
      .getRows(topic)
      .filter((row) => row.version <= version)
      .filter((row) => {
        const known = entries.get(row.key);
        if ((known?.version ?? 0) >= row.version) return false;
        return describeContent(known?.content) !== describeContent(row.content);
      })
      .map((row) => `${state.host.id} at ${version} of ${topic} lacks ${row.key} ${row.version}`);
  });
}

/** Returns what hosts must know of a content; owners announce what else engines hold. */
function describeContent(content: DirectoryContent = { type: 'removed' }): string {
  if (content.type !== 'endpoint') return JSON.stringify(content);
  return JSON.stringify({ ...content.endpoint, adapters: [], sequence: 0 });
}

// Guards against a row that no host asks for again, as the version of the host says that it has the row.
it.each(SEEDS)('a host has every change up to the version that it knows: seed %d', (seed) => {
  const disturbed = DisturbedGroup.create(seed);
  const missing = new Set<string>();
  disturbed.group.onStep = (host) => {
    for (const row of findMissingRows(host, disturbed.group)) missing.add(row);
  };
  disturbed.run();
  expect([...missing]).toEqual([]);
});
