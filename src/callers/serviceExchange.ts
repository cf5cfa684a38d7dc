import type { ActionAnswer } from '../actions/types.ts';

/** A call of a plain service, kept by the host while the reducer decides. */
export interface ServiceExchange {
  method: string;
  /** Path and query below the service. */
  target: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Called once. */
  onAnswer: (answer: ActionAnswer) => void;
}
