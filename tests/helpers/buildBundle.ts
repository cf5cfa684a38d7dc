import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The program that the entry hosts of a deployment run. */
export const BUNDLE = `${ROOT}dist/fireflywick.cjs`;
/** The program with the platform, which gateways run. */
export const GATEWAY_BUNDLE = `${ROOT}target/fireflywick.cjs`;

/** Builds the bundles once for all files of fault cases. */
export default function setup(): void {
  for (const script of ['scripts/buildBundle.mjs', 'scripts/buildTarget.mjs']) {
    execFileSync(process.execPath, [script], { cwd: ROOT, stdio: 'inherit' });
  }
}
