import * as namespace from 'ts-results';

/** `Ok`, `Err` and `Result` of ts-results. */

// Node.js finds no named exports in the UMD file of ts-results, only the module as the default.
const library = (Reflect.get(namespace, 'default') ?? namespace) as typeof namespace;

export const { Ok, Err } = library;
export type { Result } from 'ts-results';
