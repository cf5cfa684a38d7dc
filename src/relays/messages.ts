import { z } from 'zod';

/** Asks a host to pass bytes on to an endpoint; the first frame of a connection. */
export const RelayRequest = z.object({
  endpoint: z.string().min(1).max(200),
  /** Host that asks; hosts of earlier versions omit it. */
  host: z.string().min(1).max(200).optional(),
});
export type RelayRequest = z.infer<typeof RelayRequest>;

/**
 * Answers a request. After `opened`, the connection carries the bytes of the endpoint's connection.
 * `refused`: the endpoint refused the connection; `unanswered`: it did not accept it in time; `declined`:
 * the host does not relay to this endpoint now.
 */
export const RelayAnswer = z.object({
  result: z.enum(['opened', 'refused', 'unanswered', 'declined']),
});
export type RelayAnswer = z.infer<typeof RelayAnswer>;
