import { Err, Ok, type Result } from '../base/result.ts';
import { parse } from 'yaml';
import { z } from 'zod';
import { Adapter, Engine, EngineRole, Name, ConfiguredService, WarmIntent } from './types.ts';

const Caller = z.strictObject({ caller: Name, priority: z.int().min(0).max(9) });
const Share = z.strictObject({ firm: Name, share: z.number().min(0).max(1) });
const Leaving = z.strictObject({ endpoint: Name });
const Role = z.strictObject({ engine: Name, role: EngineRole });

/**
 * Returns the schema of a section of an intent. An entry is either a value to put, or the identity
 * of one with `absent: true`, to remove it.
 */
function newSectionSchema<P extends z.ZodType<object>, I extends z.ZodObject>(put: P, identity: I) {
  const Entry = z
    .unknown()
    .transform((value, context): { put: z.output<P> } | { absent: z.output<I> } => {
      const { absent, ...rest } = (value ?? {}) as Record<string, unknown>;
      const isAbsent = absent === true;
      // An `absent` that is not a boolean stays in the entry, so that the strict schema rejects it.
      const isValidAbsent = absent === undefined || typeof absent === 'boolean';
      const entry = isAbsent || isValidAbsent ? (typeof value === 'object' ? rest : value) : value;
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

/** Desired state of some entries, by section: put or removed. All other entries stay unchanged. */
export const Intent = z.strictObject({
  adapters: newSectionSchema(Adapter, z.strictObject({ name: Name })),
  engines: newSectionSchema(Engine, z.strictObject({ id: Name })),
  services: newSectionSchema(ConfiguredService, z.strictObject({ name: Name })),
  warm: newSectionSchema(WarmIntent, z.strictObject({ adapter: Name, pool: Name })),
  callers: newSectionSchema(Caller, z.strictObject({ caller: Name })),
  shares: newSectionSchema(Share, z.strictObject({ firm: Name })),
  leaving: newSectionSchema(Leaving, Leaving),
  roles: newSectionSchema(Role, z.strictObject({ engine: Name })),
});
export type Intent = z.infer<typeof Intent>;

/** Parses an intent in JSON or YAML. Returns one error for each problem, with its path. */
export function parseIntent(text: string): Result<Intent, string[]> {
  let value: unknown;
  try {
    // Keeps warnings off standard error; the schema rejects the values that they concern.
    value = parse(text, { logLevel: 'error' });
  } catch (error) {
    return Err([
      `not valid YAML or JSON: ${error instanceof Error ? error.message : String(error)}`,
    ]);
  }
  const intent = Intent.safeParse(value ?? {});
  if (intent.success) return Ok(intent.data);
  return Err(intent.error.issues.map(({ path, message }) => `${formatPath(path)}: ${message}`));
}

function formatPath(path: readonly PropertyKey[]): string {
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
