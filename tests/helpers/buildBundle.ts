import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Bundle that entry hosts run. */
export const BUNDLE = `${ROOT}dist/fireflywick.cjs`;
/** Bundle with the platform of `platform/`, which gateways run. */
export const GATEWAY_BUNDLE = `${ROOT}target/fireflywick.cjs`;

/** Global setup of the fault cases: builds both bundles once. */
export default function setup(): void {
  for (const script of ['scripts/buildBundle.mjs', 'scripts/buildTarget.mjs']) {
    execFileSync(process.execPath, [script], { cwd: ROOT, stdio: 'inherit' });
  }
}
