/** A row of the table service. */
export interface StoredRow {
  key: string;
  /** Not validated yet; handlers parse it with a schema. */
  value: unknown;
  /** ETag of the row. */
  version: string;
}

/** Condition on a row for a write to it. */
export type Condition = { type: 'any' } | { type: 'absent' } | { type: 'version'; version: string };

/** One write of a transaction. */
export type RowWrite =
  | { type: 'put'; key: string; value: unknown; condition: Condition }
  | { type: 'delete'; key: string; condition: Condition };

/** Calls to the table service. */
export type TableCall =
  | { type: 'get'; key: string }
  | { type: 'scan'; prefix: string; after: string; limit: number }
  /** A transaction: all writes apply, or none. */
  | { type: 'write'; writes: RowWrite[] };

/** Results of calls to the table service. */
export type TableAnswer =
  /** Rows that were read, or written with their new versions. */
  | { type: 'ok'; rows: StoredRow[] }
  /** A condition did not hold; nothing was written. */
  | { type: 'conflict' }
  /** The row does not exist. */
  | { type: 'missing' }
  /** The call failed and had no effect. */
  | { type: 'unavailable'; reason: string }
  /** The answer was lost; a write may have taken effect. */
  | { type: 'unknown'; reason: string };

/** Calls to the object store. */
export type ObjectCall =
  | { type: 'get'; key: string }
  | { type: 'put'; key: string; body: string }
  | { type: 'delete'; key: string };

/** Results of calls to the object store; types as in `TableAnswer`. */
export type ObjectAnswer =
  | { type: 'ok'; body: string }
  | { type: 'missing' }
  | { type: 'unavailable'; reason: string }
  | { type: 'unknown'; reason: string };

/** Returns why a store call failed: the reason in its answer, or the type of an answer without one. */
export function getFailureReason(answer: TableAnswer | ObjectAnswer): string {
  return 'reason' in answer ? answer.reason : answer.type;
}
