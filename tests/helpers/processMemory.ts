import { readFileSync } from 'node:fs';

/** Returns the most memory that a process has had resident so far, in MB. */
export function getPeakMb(pid: number): number {
  const [, kb = ''] =
    /^VmHWM:\s*(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
  return Number(kb) / 1_024;
}
