import { Err, Ok, type Result } from '../base/result.ts';
import { parse } from 'yaml';
import { z } from 'zod';
import { Adapter, Engine, EngineRole, Name, ConfiguredService, WarmIntent } from './types.ts';

const Caller = z.strictObject({ caller: Name, priority: z.int().min(0).max(9) });
const Share = z.strictObject({ firm: Name, share: z.number().min(0).max(1) });
const Leaving = z.strictObject({ endpoint: Name });
const Role = z.strictObject({ engine: Name, role: EngineRole });

/** Returns the schema of a section: entries to put, and names with `absent: true` to remove. */
function newSection<P extends z.ZodType<object>, I extends z.ZodObject>(put: P, identity: I) {
  const Entry = z
    .unknown()
    .transform((value, context): { put: z.output<P> } | { absent: z.output<I> } => {
      const { absent, ...rest } = (value ?? {}) as Record<string, unknown>;
      const isAbsent = absent === true;
      const isKnown = absent === undefined || typeof absent === 'boolean';
      const entry = isAbsent || isKnown ? (typeof value === 'object' ? rest : value) : value;
      const result = (isAbsent ? identity : put).safeParse(entry);
      if (result.success) {
        return isAbsent
          ? { absent: result.data as z.output<I> }
          : { put: result.data as z.output<P> };
      }
      for (const issue of result.error.issues) {
        context.addIssue({ code: 'custom', path: issue.path, message: issue.message });
      }
      return z.NEVER;
    });
  const fields = Object.keys(identity.shape);
  const getName = (entry: z.output<typeof Entry>) => {
    const values = ('put' in entry ? entry.put : entry.absent) as Record<string, unknown>;
    return fields.map((field) => String(values[field])).join('/');
  };
  return z
    .array(Entry)
    .superRefine((entries, context) => {
      const seen = new Set<string>();
      entries.map(getName).forEach((name, index) => {
        if (seen.has(name)) {
          context.addIssue({ code: 'custom', path: [index], message: `${name} is named twice` });
        }
        seen.add(name);
      });
    })
    .default([]);
}

/** What an operator wants: entries to put or to remove, by section. What is not named stays. */
export const Intent = z.strictObject({
  adapters: newSection(Adapter, z.strictObject({ name: Name })),
  engines: newSection(Engine, z.strictObject({ id: Name })),
  services: newSection(ConfiguredService, z.strictObject({ name: Name })),
  warm: newSection(WarmIntent, z.strictObject({ adapter: Name, pool: Name })),
  callers: newSection(Caller, z.strictObject({ caller: Name })),
  shares: newSection(Share, z.strictObject({ firm: Name })),
  leaving: newSection(Leaving, Leaving),
  roles: newSection(Role, z.strictObject({ engine: Name })),
});
export type Intent = z.infer<typeof Intent>;

/** Parses an intent in JSON or YAML. Errors name the path of each problem. */
export function parseIntent(text: string): Result<Intent, string[]> {
  let value: unknown;
  try {
    // Warnings would go to standard error; the schema refuses what they are about.
    value = parse(text, { logLevel: 'error' });
  } catch (error) {
    return Err([
      `not valid YAML or JSON: ${error instanceof Error ? error.message : String(error)}`,
    ]);
  }
  const intent = Intent.safeParse(value ?? {});
  if (intent.success) return Ok(intent.data);
  return Err(intent.error.issues.map(({ path, message }) => `${getPathText(path)}: ${message}`));
}

function getPathText(path: readonly PropertyKey[]): string {
  if (path.length === 0) return 'intent';
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number'
        ? `${text}[${part}]`
        : text === ''
          ? String(part)
          : `${text}.${String(part)}`,
    '',
  );
}
