import type { Condition, StoredRow, TableAnswer, TableCall } from '../../src/core/store.ts';

/** Transactional table in memory. It never fails; the simulations inject the faults. */
export class MemoryTable {
  readonly rows = new Map<string, StoredRow>();
  /** Called before each put of a row with the old and the new value. */
  onRowChange: (before: unknown, after: unknown) => void = () => undefined;
  private version = 0;

  private constructor() {}

  static create(): MemoryTable {
    return new MemoryTable();
  }

  /** Returns the value of a row; undefined if the row does not exist. */
  getValue(key: string): unknown {
    return this.rows.get(key)?.value;
  }

  apply(call: TableCall): TableAnswer {
    switch (call.type) {
      case 'get': {
        const row = this.rows.get(call.key);
        return row === undefined ? { type: 'missing' } : { type: 'ok', rows: [row] };
      }
      case 'scan': {
        const keys = [...this.rows.keys()]
          .filter((key) => key.startsWith(call.prefix) && key > call.after)
          .sort()
          .slice(0, call.limit);
        return { type: 'ok', rows: keys.flatMap((key) => this.rows.get(key) ?? []) };
      }
      case 'write': {
        if (!call.writes.every(({ key, condition }) => this.isConditionMet(key, condition))) {
          return { type: 'conflict' };
        }
        const rows = call.writes.flatMap((write): StoredRow[] => {
          if (write.type === 'delete') {
            this.rows.delete(write.key);
            return [];
          }
          const value: unknown = JSON.parse(JSON.stringify(write.value));
          const row = { key: write.key, value, version: String(++this.version) };
          this.onRowChange(this.rows.get(write.key)?.value, value);
          this.rows.set(write.key, row);
          return [row];
        });
        return { type: 'ok', rows };
      }
    }
  }

  private isConditionMet(key: string, condition: Condition): boolean {
    const row = this.rows.get(key);
    if (condition.type === 'any') return true;
    return condition.type === 'absent' ? row === undefined : row?.version === condition.version;
  }
}
