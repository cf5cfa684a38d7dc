// Builds `target/fireflywick.cjs`, the bundle with the platform in `platform/`.
import { buildBundle } from './bundle.mjs';

await buildBundle('target/fireflywick.cjs', 'platform/main.ts');
