import type {
  DirectoryAnswer,
  DirectoryChange,
  DirectoryContent,
  DirectoryWriteAnswer,
  HostRow,
  Topic,
} from '../../src/directory/types.ts';

/** Directory in memory: rows of the topics, with one counter of versions for all of them. */
export class MemoryDirectory {
  /** All changes of each topic, in order. */
  readonly history: Record<Topic, DirectoryChange[]> = { operator: [], endpoints: [], members: [] };
  version = 0;
  /** Version up to which the history is no longer kept. */
  private historyLostUpTo = 0;
  private watchers: Record<Topic, (() => void)[]> = { operator: [], endpoints: [], members: [] };

  private constructor() {}

  static create(): MemoryDirectory {
    return new MemoryDirectory();
  }

  /** Writes a row, `removed` for one that is deleted, and returns its version. */
  write(topic: Topic, key: string, content: DirectoryContent): number {
    this.version += 1;
    this.history[topic].push({ key, version: this.version, content });
    const { [topic]: watchers } = this.watchers;
    this.watchers[topic] = [];
    for (const notify of watchers) notify();
    return this.version;
  }

  /** Writes a row of the hosts if it has `version`; 0 when it must be absent. */
  writeIf(content: HostRow, version: number): DirectoryWriteAnswer {
    const current = this.getRows('members').find(({ key }) => key === content.type);
    if ((current?.version ?? 0) !== version) return { type: 'conflict', current };
    return { type: 'written', version: this.write('members', content.type, content) };
  }

  /** Calls `notify` once, at the next change of a topic. */
  onChange(topic: Topic, notify: () => void): void {
    this.watchers[topic].push(notify);
  }

  /** Forgets the changes so far, but not the rows. */
  dropHistory(): void {
    this.historyLostUpTo = this.version;
  }

  read(topic: Topic): DirectoryAnswer {
    const changes = this.getRows(topic).filter(({ content }) => content.type !== 'removed');
    return { type: 'changes', changes, version: this.version };
  }

  watch(topic: Topic, after: number): DirectoryAnswer {
    if (after < this.historyLostUpTo) return { type: 'historyLost', isRestored: false };
    const changes = this.getRows(topic).filter(({ version }) => version > after);
    return { type: 'changes', changes, version: this.version };
  }

  /** Returns the last change of each row of a topic, removals included, by version. */
  getRows(topic: Topic): DirectoryChange[] {
    const rows = new Map<string, DirectoryChange>();
    for (const change of this.history[topic]) {
      rows.delete(change.key);
      rows.set(change.key, change);
    }
    return [...rows.values()];
  }
}
