import type { State } from '../core/state.ts';

/** Records the time of the directory's clock, in ms, as an answer that arrives now tells it. */
export function recordDirectoryClock({ directory }: State, clockMs: number, now: number): void {
  directory.clock = { ms: clockMs, readAt: now };
}

/** Returns the time of the directory's clock, in ms; undefined before an answer told it. */
export function getDirectoryClock({ directory }: State, now: number): number | undefined {
  const { clock } = directory;
  return clock === undefined ? undefined : clock.ms + (now - clock.readAt);
}
