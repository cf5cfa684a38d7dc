import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment } from '../gatewayHost/deployment.ts';
import { BUNDLE, GATEWAY_BUNDLE } from '../helpers/buildBundle.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

const PRELOAD = './tests/helpers/signalWhileLoading.mjs';
const INVALID_SETTINGS = 2;
const SIGHUP_BIT = 1n;

// Guards against a signal that ends a process whose code for signals is not loaded yet.
describe('a signal that arrives while the modules of a host load does not end the process', () => {
  it.each([
    ['gateway', 'SIGHUP', GATEWAY_BUNDLE],
    ['gateway', 'SIGTERM', GATEWAY_BUNDLE],
    ['entry', 'SIGHUP', BUNDLE],
    ['entry', 'SIGTERM', BUNDLE],
  ])('%s, %s', (command, name, bundle) => {
    const { status, signal, stderr } = spawnSync(
      process.execPath,
      ['--import', PRELOAD, bundle, command],
      { encoding: 'utf8', env: { SIGNAL: name } },
    );
    expect(signal).toBeNull();
    // It goes on to read its settings, of which there are none.
    expect(status, stderr).toBe(INVALID_SETTINGS);
  });

  it('other commands keep the default action', () => {
    const { signal } = spawnSync(process.execPath, ['--import', PRELOAD, BUNDLE, 'audit'], {
      encoding: 'utf8',
      env: { SIGNAL: 'SIGTERM' },
    });
    expect(signal).toBe('SIGTERM');
  });
});

function catchesHangup(pid: number): boolean {
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return caught !== undefined && (BigInt(`0x${caught}`) & SIGHUP_BIT) !== 0n;
}

// Guards against a gap between the first and the last code that handles signals.
it('a gateway that gets SIGHUP over and over while it starts becomes ready', async () => {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  await deployment.addServer('desk', 'd1');
  const gateway = await GatewayProcess.start('h0', deployment.storeAddress);
  cleanUpAfterTest(() => gateway.kill());
  await waitUntil(() => catchesHangup(gateway.pid));
  while (gateway.isRunning && (await gateway.getReadyStatus()) !== 200) {
    gateway.signal('SIGHUP');
    await sleep(5);
  }
  expect(gateway.isRunning).toBe(true);
});

// Guards against requests that are cut off because a stop was requested before the code that handles it.
it('a gateway that gets SIGTERM while it starts ends without an error', async () => {
  const deployment = await GatewayDeployment.create();
  const gateway = await GatewayProcess.start('h0', deployment.storeAddress);
  cleanUpAfterTest(() => gateway.kill());
  await waitUntil(() => catchesHangup(gateway.pid));
  gateway.signal('SIGTERM');
  expect(await gateway.waitForExit()).toBe(0);
});
