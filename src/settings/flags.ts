import meow from 'meow';
import packageJson from '../../package.json' with { type: 'json' };

export const VERSION = packageJson.version;

interface Flag {
  type: 'string' | 'boolean';
  isMultiple: true;
}

/** Flags as given, before their values are checked. */
export interface ParsedFlags {
  positionals: string[];
  /** Values by flag name; a flag without a value has ''. */
  values: Map<string, string>;
  /** Boolean flags that were given. */
  switches: Set<string>;
  /** Flags that are not known, with their dashes. */
  unknown: string[];
  /** Flags that were given more than once. */
  duplicates: string[];
}

/**
 * Splits arguments into flags and input. meow's own checks end the process, so that only one problem
 * would be reported; unknown and repeated flags are collected here instead.
 */
export function parseFlags(
  argv: readonly string[],
  names: readonly string[],
  switchNames: readonly string[],
): ParsedFlags {
  const known: [string, Flag][] = [
    ...names.map((name): [string, Flag] => [getKey(name), { type: 'string', isMultiple: true }]),
    ...switchNames.map((name): [string, Flag] => [
      getKey(name),
      { type: 'boolean', isMultiple: true },
    ]),
  ];
  const cli = meow({
    // The bundle is CommonJS, where only `import.meta.url` is replaced.
    importMeta: { url: import.meta.url } as ImportMeta,
    pkg: { name: packageJson.name, version: packageJson.version },
    argv,
    flags: Object.fromEntries<Flag>(known),
    autoHelp: false,
    autoVersion: false,
    allowUnknownFlags: true,
    description: false,
  });
  const flags = cli.flags as Record<string, unknown>;
  const given = new Map(names.map((name) => [name, getList(flags[getKey(name)])]));
  const knownKeys = new Set([...names, ...switchNames].map(getKey));
  return {
    positionals: cli.input,
    values: new Map(
      [...given].flatMap(([name, list]) => (list[0] === undefined ? [] : [[name, list[0]]])),
    ),
    switches: new Set(switchNames.filter((name) => getList(flags[getKey(name)])[0] === 'true')),
    unknown: Object.keys(flags)
      .filter((key) => !knownKeys.has(key))
      .map((key) => getFlag(key)),
    duplicates: [...given].filter(([, list]) => list.length > 1).map(([name]) => name),
  };
}

/** Returns the key that meow uses for a flag: `table-url` -> `tableUrl`. */
function getKey(name: string): string {
  return name.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}

function getFlag(key: string): string {
  if (key.length === 1) return `-${key}`;
  return `--${key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function getList(value: unknown): string[] {
  if (value === undefined) return [];
  return (Array.isArray(value) ? value : [value]).map(String);
}
