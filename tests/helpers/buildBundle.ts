import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The program that the entry hosts of a deployment run. */
export const BUNDLE = `${ROOT}dist/fireflywick.cjs`;

/** Builds the bundle once for all files of fault cases. */
export default function setup(): void {
  execFileSync(process.execPath, ['scripts/buildBundle.mjs'], { cwd: ROOT, stdio: 'inherit' });
}
