import process from 'node:process';
import { setTimeout } from 'node:timers';
import { join } from 'node:path';
import { Deployment, Record } from './deployment.mjs';

/** Whether the run has its disruption; `TROUBLE=0` leaves it out. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Time after which a run is given up. */
const MAX_MS = 100_000;

/**
 * Runs a case: `play` gets a deployment with a store and returns the exit code, 1 if the rule was broken
 * and 0 if it held. Writes `record.txt` into `folder`, ends all processes, and exits.
 */
export async function runCase(folder, play) {
  const record = new Record();
  const deployment = new Deployment(record);
  record.add(isTroubled ? 'with the disruption' : 'without the disruption');
  let code = 2;
  const end = () => {
    record.add(`exit code ${code}`);
    record.write(join(folder, 'record.txt'));
    process.exit(code);
  };
  // A fault of the case itself must not look like a broken rule.
  process.once('uncaughtException', (error) => {
    record.add(`the case could not run: ${error.stack}`);
    code = 2;
    deployment.stop().then(end, end);
  });
  setTimeout(() => {
    record.add(`the case took longer than ${MAX_MS} ms`);
    code = 2;
    deployment.stop().then(end, end);
  }, MAX_MS).unref();
  try {
    await deployment.startStore();
    code = await play(deployment, record);
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  } finally {
    await deployment.stop();
  }
  end();
}
