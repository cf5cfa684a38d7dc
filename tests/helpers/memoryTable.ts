import type { Condition, StoredRow, TableAnswer, TableCall } from '../../src/core/store.ts';

/** The table service in memory. */
export class MemoryTable {
  private readonly rows = new Map<string, StoredRow>();
  private nextVersion = 1;

  private constructor() {}

  static create(): MemoryTable {
    return new MemoryTable();
  }

  get(key: string): unknown {
    return this.rows.get(key)?.value;
  }

  call(call: TableCall): TableAnswer {
    if (call.type === 'get') {
      const row = this.rows.get(call.key);
      return row === undefined ? { type: 'missing' } : { type: 'ok', rows: [row] };
    }
    if (call.type === 'scan') {
      const keys = [...this.rows.keys()].sort();
      const found = keys.filter((key) => key.startsWith(call.prefix) && key > call.after);
      const rows = found.slice(0, call.limit).flatMap((key) => this.rows.get(key) ?? []);
      return { type: 'ok', rows };
    }
    if (!call.writes.every((write) => this.isMet(write.key, write.condition))) {
      return { type: 'conflict' };
    }
    const written: StoredRow[] = [];
    for (const write of call.writes) {
      if (write.type === 'delete') {
        this.rows.delete(write.key);
        continue;
      }
      const version = String(this.nextVersion++);
      const row = { key: write.key, value: structuredClone(write.value), version };
      this.rows.set(write.key, row);
      written.push(row);
    }
    return { type: 'ok', rows: written };
  }

  private isMet(key: string, condition: Condition): boolean {
    const row = this.rows.get(key);
    if (condition.type === 'any') return true;
    return condition.type === 'absent' ? row === undefined : row?.version === condition.version;
  }
}
