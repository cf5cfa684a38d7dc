// Builds `target/fireflywick.cjs`, the bundle that includes the code of `platform/`.
import { buildBundle } from './bundle.mjs';

await buildBundle('target/fireflywick.cjs', 'platform/main.ts');
