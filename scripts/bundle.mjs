import { build } from 'esbuild';

// Disables the native addon of cbor-x: the executable cannot load it and would print a warning.
const BANNER = `
const importMetaUrl = require('node:url').pathToFileURL(__filename).href;
process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';
`;

/** Bundles `entryPoint` with its dependencies into the CommonJS file `outfile`. */
export async function buildBundle(outfile, entryPoint = 'src/main.ts') {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Prefers ES modules, because the UMD build of ts-results fails at run time when it is bundled.
    mainFields: ['module', 'main'],
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: BANNER },
    logLevel: 'warning',
  });
}
