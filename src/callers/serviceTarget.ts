import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';

/** Path and query of a service call without `/services/NAME`, encoded as the caller sent them. */
export interface ServiceTarget {
  path: string;
  /** Includes the question mark; empty without a query. */
  query: string;
}

/** `/services/NAME`, an optional path and an optional query. */
const TARGET = /^\/[^/?]+\/[^/?]+(\/[^?]*)?(\?.*)?$/;

/**
 * Parses the raw target of a request. Fails with `bad_request` when it has another form or when `..`
 * segments could lead out of the service.
 */
export function parseServiceTarget(target: string): Result<ServiceTarget, Failure> {
  const match = TARGET.exec(target);
  if (match === null || target.includes('#')) {
    return newPathFailure(`"${target}" is not of the form /services/NAME/PATH?QUERY`);
  }
  const [, path = '/', query = ''] = match;
  if (hasParentSegment(path)) return newPathFailure(`path "${path}" has a ".." segment`);
  return Ok({ path, query });
}

/** Checks all encodings of `..`, since services differ in what they decode and in their separators. */
function hasParentSegment(path: string): boolean {
  return path
    .replace(/%2e/gi, '.')
    .replace(/%2f|%5c|\\/gi, '/')
    .replace(/%3b/gi, ';')
    .split('/')
    .some((segment) => segment.split(';')[0] === '..');
}

function newPathFailure(message: string): Result<never, Failure> {
  return Err(Failure.create('bad_request', message, { param: 'path' }));
}
