import type { Observation } from '../core/observations.ts';

/** Receives what the reducer tells of its work. */
export interface Observer {
  observe(observation: Observation): void;
}
