import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { cleanUpAfterTest } from '../support.ts';

/** Starts an endpoint that answers with bytes of `kind` without end; returns its address. */
export async function startFlood(kind: string): Promise<string> {
  const child = spawn(process.execPath, ['tests/helpers/floodingEndpoint.mjs', kind], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  cleanUpAfterTest(async () => {
    child.stdin.end();
    await once(child, 'exit');
  });
  const [port] = (await once(child.stdout, 'data')) as [Buffer];
  return `127.0.0.1:${port.toString().trim()}`;
}
