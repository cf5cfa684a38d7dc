import type { OperatorPurpose } from '../operators/types.ts';
import type { OwnershipPurpose } from '../ownership/types.ts';
import type { DraftObjectPurpose, DraftTablePurpose } from '../drafts/types.ts';
import type { SuspectTablePurpose } from '../suspects/types.ts';
import type { ActionObjectPurpose, ActionTablePurpose } from '../actions/types.ts';

/** Purpose of a call to the table service; selects the handler of its answer. */
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

/** Purpose of a call to the object store; selects the handler of its answer. */
export type ObjectPurpose =
  | { type: 'readSnapshot'; revision: number }
  | { type: 'writeSnapshot'; revision: number; body: string }
  | ActionObjectPurpose
  | DraftObjectPurpose;
