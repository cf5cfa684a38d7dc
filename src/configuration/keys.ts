import { AUDIT_PREFIX, PLAN_PREFIX, REVISION_PREFIX, SNAPSHOT_PREFIX } from './constants.ts';

const REVISION_DIGITS = 12;

/** Returns the row key of a revision; keys sort by revision. */
export function getRevisionKey(revision: number): string {
  return REVISION_PREFIX + padRevision(revision);
}

/** Returns the object key of the snapshot at a revision. */
export function getSnapshotKey(revision: number): string {
  return SNAPSHOT_PREFIX + padRevision(revision);
}

/** Returns the row key of the audit entry of a revision. */
export function getAuditKey(revision: number): string {
  return AUDIT_PREFIX + padRevision(revision);
}

/** Returns the key of an audit entry without a revision; it sorts after the one of `revision`. */
export function getActionAuditKey(revision: number, atUnixMs: number, id: string): string {
  return `${getAuditKey(revision)}.${atUnixMs}.${id}`;
}

/** Returns the row key of a plan. */
export function getPlanKey(id: string): string {
  return PLAN_PREFIX + id;
}

function padRevision(revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}
