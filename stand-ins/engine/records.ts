import type { JobState } from './job.ts';

/** Actions of the engine since its process started; simulated crashes keep them. */
export interface EngineRecords {
  runs: {
    request: string;
    model: string;
    bootId: string;
    state: JobState;
    tokens: number;
    /** Monotonic time of arrival in ms. */
    arrivedAt: number;
  }[];
  /** Streams resumed on another connection, with the last event id that the client received. */
  resumes: { request: string; position: number }[];
  evictions: { model: string; bootId: string; inUseBy: string[] }[];
  /** `at` is the wall-clock time in ISO 8601, as in the logs of the hosts. */
  crashes: { at: string; bootId: string; requests: string[] }[];
  orders: {
    type: 'load' | 'unload' | 'role';
    subject: string;
    fencingNumber: number | undefined;
    status: number;
  }[];
}

export function newEngineRecords(): EngineRecords {
  return { runs: [], resumes: [], evictions: [], crashes: [], orders: [] };
}
