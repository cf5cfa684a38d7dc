import { spawnSync } from 'node:child_process';
import { expect, it } from 'vitest';

const PROGRAM = 'tests/helpers/failingProcess.ts';

// Guards against one unhandled error that ends the process, and with it the requests of all callers.
it.each([
  ['in a timer', 'timer', 'uncaughtException'],
  ['in a promise', 'promise', 'unhandledRejection'],
  ['of an emitter without a listener', 'emitter', 'uncaughtException'],
  ['that is no Error', 'thrownText', 'uncaughtException'],
])('an error %s is logged and counted, and the process goes on', (_name, kind, origin) => {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    ['--import', 'tsx', PROGRAM, kind],
    { encoding: 'utf8' },
  );
  expect(status).toBe(0);
  expect(stdout).toContain(`fireflywick_unhandled_errors_total{origin="${origin}"} 1`);
  expect(JSON.parse(stderr)).toMatchObject({ message: 'unhandled error', origin });
  expect(stderr).toContain('planned');
});

it('an error in the handler of a request is answered, logged and counted', () => {
  const { status, stdout } = spawnSync(process.execPath, ['--import', 'tsx', PROGRAM, 'request'], {
    encoding: 'utf8',
  });
  expect(status).toBe(0);
  expect(stdout).toContain('answered 500');
  expect(stdout).toContain('fireflywick_unhandled_errors_total{origin="unhandledRejection"} 1');
});
