// Builds only the bundle, which is what tests start.
import { buildBundle } from './bundle.mjs';

await buildBundle('dist/fireflywick.cjs');
