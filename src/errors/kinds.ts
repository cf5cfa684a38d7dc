/** All error kinds and their HTTP responses. */

/** Whether a failed request may have had an effect: `not_run` means that it had none. */
export type Outcome = 'not_run' | 'unknown';

interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Error type of the OpenAI API. */
  readonly type: string;
  readonly outcome: Outcome;
  /** Value of `Retry-After` in seconds; absent where a retry cannot help. */
  readonly retryAfterS?: number;
}

const INVALID = 'invalid_request_error';
const SERVER = 'server_error';

/** Maps each error kind to its HTTP response. The keys are all the kinds that exist. */
export const ERROR_RESPONSES = {
  bad_request: { status: 400, type: INVALID, outcome: 'not_run' },
  key_missing: { status: 400, type: INVALID, outcome: 'not_run' },
  unauthorized: { status: 401, type: 'authentication_error', outcome: 'not_run' },
  forbidden: { status: 403, type: 'permission_error', outcome: 'not_run' },
  not_found: { status: 404, type: INVALID, outcome: 'not_run' },
  unknown_adapter: { status: 404, type: INVALID, outcome: 'not_run' },
  unknown_version: { status: 404, type: INVALID, outcome: 'not_run' },
  unknown_service: { status: 404, type: INVALID, outcome: 'not_run' },
  method_not_allowed: { status: 405, type: INVALID, outcome: 'not_run' },
  slow_sender: { status: 408, type: INVALID, outcome: 'not_run' },
  in_progress: { status: 409, type: INVALID, outcome: 'unknown', retryAfterS: 1 },
  stale_plan: { status: 409, type: INVALID, outcome: 'not_run' },
  body_too_large: { status: 413, type: INVALID, outcome: 'not_run' },
  invalid_intent: { status: 422, type: INVALID, outcome: 'not_run' },
  key_reused: { status: 422, type: INVALID, outcome: 'not_run' },
  request_quarantined: { status: 422, type: INVALID, outcome: 'not_run' },
  quota_exceeded: { status: 429, type: 'rate_limit_error', outcome: 'not_run', retryAfterS: 1 },
  too_many_requests: { status: 429, type: 'rate_limit_error', outcome: 'not_run', retryAfterS: 1 },
  headers_too_large: { status: 431, type: INVALID, outcome: 'not_run' },
  cancelled: { status: 499, type: INVALID, outcome: 'unknown' },
  internal: { status: 500, type: SERVER, outcome: 'unknown' },
  engine_failed: { status: 502, type: SERVER, outcome: 'unknown', retryAfterS: 1 },
  stream_broken: { status: 502, type: SERVER, outcome: 'unknown', retryAfterS: 1 },
  wrong_adapter: { status: 502, type: SERVER, outcome: 'unknown', retryAfterS: 1 },
  outcome_unknown: { status: 502, type: SERVER, outcome: 'unknown' },
  adapter_unavailable: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 2 },
  service_unavailable: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 1 },
  overloaded: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 1 },
  unproven_key: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 1 },
  store_unavailable: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 5 },
  not_ready: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 2 },
  shutting_down: { status: 503, type: SERVER, outcome: 'not_run', retryAfterS: 1 },
  deadline_exceeded: { status: 504, type: SERVER, outcome: 'unknown' },
  deadline_passed: { status: 504, type: SERVER, outcome: 'not_run' },
} as const satisfies Record<string, ErrorResponse>;

export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** Whether `text` is an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, text);
}

/** Returns the HTTP response for `kind`. */
export function getErrorResponse(kind: ErrorKind): ErrorResponse {
  return ERROR_RESPONSES[kind];
}
