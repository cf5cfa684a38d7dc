import type { ActionAnswer } from '../actions/types.ts';

/** Request of a call to a plain service, kept by the host until the call is answered. */
export interface ServiceExchange {
  method: string;
  /** Path and query without `/services/NAME`. */
  target: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Called once. */
  onAnswer: (answer: ActionAnswer) => void;
}
