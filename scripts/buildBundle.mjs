// Builds the bundle without the executable; the fault cases start their entry hosts from it.
import { buildBundle } from './bundle.mjs';

await buildBundle('dist/fireflywick.cjs');
