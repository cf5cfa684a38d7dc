import { type ErrorKind, type Outcome, getErrorResponse } from './kinds.ts';

interface FailureOptions {
  /** Name of the offending field, header or setting. */
  param?: string;
  /** Overrides the table's outcome where the caller of `create` can prove it. */
  outcome?: Outcome;
  /** Overrides the table's `Retry-After`, in seconds. */
  retryAfterS?: number;
}

/** A failed operation: one kind from the closed list and a sentence that names what was wrong. */
export class Failure {
  private constructor(
    readonly kind: ErrorKind,
    readonly message: string,
    readonly outcome: Outcome,
    readonly retryAfterS: number | undefined,
    readonly param: string | undefined,
  ) {}

  static create(kind: ErrorKind, message: string, options: FailureOptions = {}): Failure {
    const answer = getErrorResponse(kind);
    return new Failure(
      kind,
      message,
      options.outcome ?? answer.outcome,
      options.retryAfterS ?? answer.retryAfterS,
      options.param,
    );
  }
}

/** HTTP form of a failure, as callers and operators receive it. */
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

/** Returns the JSON body that answers `failure`. */
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
