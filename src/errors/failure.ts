import { type ErrorKind, type Outcome, getErrorResponse } from './kinds.ts';

interface FailureOptions {
  /** Name of the offending field, header or setting. */
  param?: string;
  /** Overrides the default outcome of the kind when the caller knows it for certain. */
  outcome?: Outcome;
  /** Overrides the default `Retry-After` of the kind, in seconds. */
  retryAfterS?: number;
}

/** A failed operation: an error kind and a message that says what went wrong. */
export class Failure {
  private constructor(
    readonly kind: ErrorKind,
    readonly message: string,
    readonly outcome: Outcome,
    readonly retryAfterS: number | undefined,
    readonly param: string | undefined,
    /** Whether `retryAfterS` is the default of the kind. */
    readonly hasDefaultRetryAfter: boolean,
  ) {}

  static create(kind: ErrorKind, message: string, options: FailureOptions = {}): Failure {
    const errorResponse = getErrorResponse(kind);
    return new Failure(
      kind,
      message,
      options.outcome ?? errorResponse.outcome,
      options.retryAfterS ?? errorResponse.retryAfterS,
      options.param,
      options.retryAfterS === undefined,
    );
  }
}

/** JSON body of an error response, as callers and operators receive it. */
export interface FailureBody {
  error: {
    kind: ErrorKind;
    message: string;
    outcome: Outcome;
    type: string;
    code: string;
    param: string | null;
  };
}

/** Returns the JSON response body for `failure`. */
export function getFailureBody(failure: Failure): FailureBody {
  return {
    error: {
      kind: failure.kind,
      message: failure.message,
      outcome: failure.outcome,
      type: getErrorResponse(failure.kind).type,
      code: failure.kind,
      param: failure.param ?? null,
    },
  };
}
