import { build } from 'esbuild';

// The executable cannot load the native part of cbor-x, and trying prints a warning.
const BANNER = `
const importMetaUrl = require('node:url').pathToFileURL(__filename).href;
process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';
`;

/** Bundles the program that starts at `entryPoint` into the file `outfile`. */
export async function buildBundle(outfile, entryPoint = 'src/main.ts') {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // The UMD file of ts-results fails at run time once bundled.
    mainFields: ['module', 'main'],
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: BANNER },
    logLevel: 'warning',
  });
}
