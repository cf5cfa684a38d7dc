import type { OperatorPurpose } from '../operators/types.ts';
import type { OwnershipPurpose } from '../ownership/types.ts';

/** Why a store call was made; the answer is handled by the table entry of its purpose. */
export type TablePurpose =
  | OwnershipPurpose
  /** Reads `configuration/head`. */
  | { type: 'readHead' }
  /** Reads the revisions after `after`. */
  | { type: 'readRevisions'; after: number }
  | OperatorPurpose;

export type ObjectPurpose =
  | { type: 'readSnapshot'; revision: number }
  | { type: 'writeSnapshot'; revision: number; body: string };
