/** What an answer of an endpoint says of the requests that the endpoint takes. */
export type NamedLimit =
  | { type: 'none' }
  /** Requests per second that it takes from all hosts together. */
  | { type: 'rate'; perS: number }
  /** The value is no decimal number, so it says nothing. */
  | { type: 'malformed'; value: string };

/** The limit of an endpoint as this host knows it. */
export interface EndpointLimit {
  /** Requests per second from all hosts together; undefined once the endpoint names none any more. */
  perS: number | undefined;
  /** The limit before the last change. */
  formerPerS: number | undefined;
  /** Monotonic ms at which this host learned of `perS`. */
  adoptedAt: number;
}
