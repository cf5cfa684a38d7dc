// Builds the bundle `dist/fireflywick.cjs` and the single executable `dist/fireflywick`, which contains
// the bundle and the Node.js binary that runs this script.
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
const TEMPORARY_BINARY = 'dist/fireflywick.unfinished';

await buildBundle(BUNDLE);

// The bundle runs without the executable, so a failure is reported and the bundle is kept.
try {
  rmSync(BINARY, { force: true });
  const config = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
  writeFileSync(CONFIG, JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: 'pipe' });
  copyFileSync(process.execPath, TEMPORARY_BINARY);
  chmodSync(TEMPORARY_BINARY, 0o755);
  await inject(TEMPORARY_BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), {
    sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
  });
  renameSync(TEMPORARY_BINARY, BINARY);
} catch (error) {
  console.error(`could not build ${BINARY}, built only ${BUNDLE}: ${String(error)}`);
  process.exitCode = 1;
} finally {
  for (const file of [BLOB, CONFIG, TEMPORARY_BINARY]) rmSync(file, { force: true });
}
