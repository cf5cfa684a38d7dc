import { readFileSync } from 'node:fs';
import { parseEnv } from 'node:util';
import { Err, Ok, type Result } from '../base/result.ts';

/** Flag that names a file of settings. */
export const SETTINGS_FILE_FLAG = 'settings-file';

/**
 * Reads a file of `NAME=value` lines, where the names are those of the environment variables. Fails
 * with a sentence that names the file.
 */
export function readSettingsFile(path: string): Result<Record<string, string>, string> {
  try {
    const values = parseEnv(readFileSync(path, 'utf8'));
    return Ok(Object.fromEntries(Object.entries(values).map(([name, text]) => [name, text ?? ''])));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(`settings file "${path}" cannot be read: ${reason}`);
  }
}
