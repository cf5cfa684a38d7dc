// Runs the tests and prints failed tests that KNOWN-RED.txt lists. Exits with 0 if no other test failed.
import { spawnSync } from 'node:child_process';
import console from 'node:console';
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs';
import process from 'node:process';

const REPORT = 'dist/test-report.json';
const PREFIX = 'test: ';

function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return lines.filter((line) => line.startsWith(PREFIX)).map((line) => line.slice(PREFIX.length));
}

mkdirSync('dist', { recursive: true });
rmSync(REPORT, { force: true });
const { status } = spawnSync(
  'npx',
  ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile.json=${REPORT}`].concat(
    process.argv.slice(2),
  ),
  { stdio: 'inherit' },
);
if (!existsSync(REPORT)) process.exit(status || 1);

const knownFailures = readKnownFailures();
const files = JSON.parse(readFileSync(REPORT, 'utf8')).testResults;
const tests = files.flatMap(({ assertionResults }) => assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
// A file that fails before it defines its tests reports no test results.
const failedFiles = files.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
for (const name of failed.filter((test) => knownFailures.includes(test)))
  console.log(`known red: ${name}`);
for (const test of tests) {
  if (test.status === 'passed' && knownFailures.includes(test.fullName))
    console.log(`known red, but passed: ${test.fullName}`);
}
const unexpectedFailures = failed.filter((test) => !knownFailures.includes(test));
for (const name of unexpectedFailures) console.error(`failed: ${name}`);
const hasOnlyKnownFailures =
  failed.length > 0 && unexpectedFailures.length === 0 && failedFiles.length === 0;
process.exit(hasOnlyKnownFailures ? 0 : (status ?? 1));
