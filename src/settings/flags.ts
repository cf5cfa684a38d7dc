import meow from 'meow';
import packageJson from '../../package.json' with { type: 'json' };

/** Version of the executable. */
export const VERSION = packageJson.version;

interface Flag {
  type: 'string' | 'boolean';
  isMultiple: true;
}

/** Flags and positional arguments as given; values are not validated. */
export interface ParsedFlags {
  positionals: string[];
  /** Values by flag name; '' for a flag without a value. */
  values: Map<string, string>;
  /** Boolean flags that were given. */
  switches: Set<string>;
  /** Unknown flags with their dashes. */
  unknown: string[];
  /** Flags that were given more than once. */
  duplicates: string[];
}

/**
 * Parses arguments into flags and positionals. Collects unknown and duplicate flags instead of using
 * meow's own checks, which end the process after the first problem.
 */
export function parseFlags(
  argv: readonly string[],
  names: readonly string[],
  switchNames: readonly string[],
): ParsedFlags {
  const known: [string, Flag][] = [
    ...names.map((name): [string, Flag] => [
      getMeowKey(name),
      { type: 'string', isMultiple: true },
    ]),
    ...switchNames.map((name): [string, Flag] => [
      getMeowKey(name),
      { type: 'boolean', isMultiple: true },
    ]),
  ];
  const cli = meow({
    // The bundle is CommonJS, where the build replaces only `import.meta.url`.
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
  const given = new Map(names.map((name) => [name, toStringList(flags[getMeowKey(name)])]));
  const knownKeys = new Set([...names, ...switchNames].map(getMeowKey));
  return {
    positionals: cli.input,
    values: new Map(
      [...given].flatMap(([name, list]) => (list[0] === undefined ? [] : [[name, list[0]]])),
    ),
    switches: new Set(
      switchNames.filter((name) => toStringList(flags[getMeowKey(name)])[0] === 'true'),
    ),
    unknown: Object.keys(flags)
      .filter((key) => !knownKeys.has(key))
      .map((key) => formatFlag(key)),
    duplicates: [...given].filter(([, list]) => list.length > 1).map(([name]) => name),
  };
}

/** Returns the key that meow uses for a flag: `table-url` -> `tableUrl`. */
function getMeowKey(name: string): string {
  return name.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}

function formatFlag(key: string): string {
  if (key.length === 1) return `-${key}`;
  return `--${key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function toStringList(value: unknown): string[] {
  if (value === undefined) return [];
  return (Array.isArray(value) ? value : [value]).map(String);
}
