import type { OperatorPurpose } from '../operators/types.ts';
import type { OwnershipPurpose } from '../ownership/types.ts';
import type { DraftObjectPurpose, DraftTablePurpose } from '../drafts/types.ts';
import type { SuspectTablePurpose } from '../suspects/types.ts';
import type { ActionObjectPurpose, ActionTablePurpose } from '../actions/types.ts';

/** Why a store call was made; the answer is handled by the table entry of its purpose. */
export type TablePurpose =
  | OwnershipPurpose
  | ActionTablePurpose
  | DraftTablePurpose
  | SuspectTablePurpose
  /** Reads `configuration/head`. */
  | { type: 'readHead' }
  /** Reads the revisions after `after`. */
  | { type: 'readRevisions'; after: number }
  | OperatorPurpose;

export type ObjectPurpose =
  | { type: 'readSnapshot'; revision: number }
  | { type: 'writeSnapshot'; revision: number; body: string }
  | ActionObjectPurpose
  | DraftObjectPurpose;
