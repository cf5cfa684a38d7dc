import type { JobState } from './job.ts';

/** What the engine did since its process began, over all its restarts. */
export interface EngineRecords {
  runs: {
    request: string;
    model: string;
    bootId: string;
    state: JobState;
    tokens: number;
    /** Monotonic ms at which the request arrived. */
    arrivedAt: number;
  }[];
  /** Streams continued on another connection, with the last chunk that the client had. */
  resumes: { request: string; position: number }[];
  evictions: { model: string; bootId: string; inUseBy: string[] }[];
  /** `at` is the wall clock in ISO 8601, as in the hosts' logs. */
  crashes: { at: string; bootId: string; requests: string[] }[];
  orders: {
    type: 'load' | 'unload' | 'role';
    subject: string;
    fencingNumber: number | undefined;
    status: number;
  }[];
}

/** Returns empty records. */
export function newEngineRecords(): EngineRecords {
  return { runs: [], resumes: [], evictions: [], crashes: [], orders: [] };
}
