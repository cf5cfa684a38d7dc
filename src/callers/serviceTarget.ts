import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';

/** Path and query of a call below its service, as the caller sent them. */
export interface ServiceTarget {
  path: string;
  /** With its question mark; empty when there is none. */
  query: string;
}

/** `/services/NAME`, then the path, then the query. */
const TARGET = /^\/[^/?]+\/[^/?]+(\/[^?]*)?(\?.*)?$/;

/** Splits the raw target of a request; fails with `bad_request` when the path leaves the service. */
export function parseServiceTarget(target: string): Result<ServiceTarget, Failure> {
  const match = TARGET.exec(target);
  if (match === null || target.includes('#')) {
    return refuse(`"${target}" is not of the form /services/NAME/PATH?QUERY`);
  }
  const [, path = '/', query = ''] = match;
  if (hasParentSegment(path)) return refuse(`path "${path}" has a ".." segment`);
  return Ok({ path, query });
}

/** Services differ in what they decode and in what they take for a separator, so all forms count. */
function hasParentSegment(path: string): boolean {
  return path
    .replace(/%2e/gi, '.')
    .replace(/%2f|%5c|\\/gi, '/')
    .replace(/%3b/gi, ';')
    .split('/')
    .some((segment) => segment.split(';')[0] === '..');
}

function refuse(message: string): Result<never, Failure> {
  return Err(Failure.create('bad_request', message, { param: 'path' }));
}
