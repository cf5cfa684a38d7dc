import type { ActionObjectPurpose, ActionTablePurpose } from '../actions/types.ts';

/** Why a store call was made; the answer is handled by the table entry of its purpose. */
export type TablePurpose =
  | ActionTablePurpose
  /** Reads `configuration/head`. */
  | { type: 'readHead' }
  /** Reads the revisions after `after`. */
  | { type: 'readRevisions'; after: number };

export type ObjectPurpose = { type: 'readSnapshot'; revision: number } | ActionObjectPurpose;
