import { REVISION_PREFIX } from './constants.ts';

const REVISION_DIGITS = 12;

/** Returns the row key of a revision; keys sort in revision order. */
export function getRevisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}
