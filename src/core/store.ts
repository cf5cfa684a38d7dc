/** Calls to the table service and the object store, and their answers, as data. */

/** A row of the table service. */
export interface StoredRow {
  key: string;
  /** Unparsed; the handler of the answer parses it with a schema. */
  value: unknown;
  /** ETag of the row. */
  version: string;
}

export type Condition = { type: 'any' } | { type: 'absent' } | { type: 'version'; version: string };

export type RowWrite =
  | { type: 'put'; key: string; value: unknown; condition: Condition }
  | { type: 'delete'; key: string; condition: Condition };

export type TableCall =
  | { type: 'get'; key: string }
  | { type: 'scan'; prefix: string; after: string; limit: number }
  /** One or more writes that apply together or not at all. */
  | { type: 'write'; writes: RowWrite[] };

export type TableAnswer =
  /** Rows read, or rows written with their new versions. */
  | { type: 'ok'; rows: StoredRow[] }
  /** A condition did not hold; nothing was written. */
  | { type: 'conflict' }
  /** The row does not exist. */
  | { type: 'missing' }
  /** The call is known to have had no effect. */
  | { type: 'unavailable'; reason: string }
  /** The answer was lost; a write may have taken effect. */
  | { type: 'unknown'; reason: string };

export type ObjectCall =
  | { type: 'get'; key: string }
  | { type: 'put'; key: string; body: string }
  | { type: 'delete'; key: string };

export type ObjectAnswer =
  | { type: 'ok'; body: string }
  | { type: 'missing' }
  | { type: 'unavailable'; reason: string }
  | { type: 'unknown'; reason: string };
