import { readFileSync } from 'node:fs';
import { parseEnv } from 'node:util';
import { Err, Ok, type Result } from '../base/result.ts';

/** Flag for the path of a settings file. */
export const SETTINGS_FILE_FLAG = 'settings-file';

/**
 * Reads a file of `NAME=value` lines with the names of the environment variables. Fails with a
 * message that names the file.
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
