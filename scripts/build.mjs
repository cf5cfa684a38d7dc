// Builds `dist/fireflywick.cjs`, the bundle, and `dist/fireflywick`, one executable that holds the
// bundle and the Node.js binary that runs this script.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import console from 'node:console';
import process from 'node:process';
import { inject } from 'postject';
import { buildBundle } from './bundle.mjs';

const BUNDLE = 'dist/fireflywick.cjs';
const BINARY = 'dist/fireflywick';
const BLOB = 'dist/sea.blob';
const CONFIG = 'dist/sea.json';
const UNFINISHED = 'dist/fireflywick.unfinished';

await buildBundle(BUNDLE);

// Without the binary the bundle still runs, so a failure here is reported and leaves the bundle.
try {
  rmSync(BINARY, { force: true });
  const config = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
  writeFileSync(CONFIG, JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: 'pipe' });
  copyFileSync(process.execPath, UNFINISHED);
  chmodSync(UNFINISHED, 0o755);
  await inject(UNFINISHED, 'NODE_SEA_BLOB', readFileSync(BLOB), {
    sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
  });
  renameSync(UNFINISHED, BINARY);
} catch (error) {
  console.error(`${BINARY} was not built, only ${BUNDLE}: ${String(error)}`);
  process.exitCode = 1;
} finally {
  for (const file of [BLOB, CONFIG, UNFINISHED]) rmSync(file, { force: true });
}
