import { readdirSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { waitUntil } from '../support.ts';

/** Flags under which the users' machines run the program. */
export const NODE_FLAGS = ['--expose-gc', '--max-old-space-size=200', '--max-semi-space-size=4'];

/** Interval at which ordinary requests are sent beside a crowd. */
const SEND_INTERVAL_MS = 50;

/** What was seen while a crowd was there. */
interface CrowdObservation {
  /** Most descriptors that the process had open. */
  openDescriptors: number;
  /** Statuses of ordinary requests; undefined for those without an answer. */
  statuses: (number | undefined)[];
}

/** Sends ordinary requests to process `pid` until a crowd has gone, and then until one is answered with 200. */
export async function observeCrowd(
  crowded: Promise<void>,
  pid: number,
  send: () => Promise<number | undefined>,
): Promise<CrowdObservation> {
  const state = { isOver: false };
  const over = crowded.finally(() => (state.isOver = true));
  const observation: CrowdObservation = { openDescriptors: 0, statuses: [] };
  while (!state.isOver) {
    const open = readdirSync(`/proc/${pid}/fd`).length;
    observation.openDescriptors = Math.max(observation.openDescriptors, open);
    observation.statuses.push(await send());
    await sleep(SEND_INTERVAL_MS);
  }
  await over;
  await waitUntil(async () => (await send()) === 200);
  return observation;
}
