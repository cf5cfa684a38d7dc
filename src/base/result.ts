import * as namespace from 'ts-results';

/** `Ok`, `Err` and `Result` of ts-results. */

// Node.js detects no named exports in the UMD build of ts-results, only a default export.
const library = (Reflect.get(namespace, 'default') ?? namespace) as typeof namespace;

export const { Ok, Err } = library;
export type { Result } from 'ts-results';
