import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { Name } from '../configuration/types.ts';

/** Key of a caller or operator; settings hold its hash only. */
export const AccessKey = z.strictObject({
  name: Name,
  firm: Name,
  role: z.enum(['caller', 'operator']),
  /** SHA-256 of the key in lower-case hex. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, '64 lower-case hex digits'),
});
export type AccessKey = z.infer<typeof AccessKey>;

const AccessKeys = z.array(AccessKey).superRefine((keys, context) => {
  const seen = new Set<string>();
  keys.forEach((key, index) => {
    if (seen.has(key.sha256)) {
      context.addIssue({ code: 'custom', path: [index, 'sha256'], message: 'is used twice' });
    }
    seen.add(key.sha256);
  });
});

/** Schema of a list of access keys: a JSON list, or the path of a file that contains one. */
export const AccessKeyList: z.ZodType<AccessKey[], string | undefined> = z
  .string({ error: 'is required' })
  .transform((text, context) => {
    const fail = (message: string) => {
      context.addIssue({ code: 'custom', message });
      return z.NEVER;
    };
    let json: unknown;
    try {
      json = JSON.parse(text.trimStart().startsWith('[') ? text : readFileSync(text, 'utf8'));
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code;
      return fail(code === undefined ? 'is not valid JSON' : `cannot be read (${code})`);
    }
    const keys = AccessKeys.safeParse(json);
    if (keys.success) return keys.data;
    const problems = keys.error.issues.map(({ path, message }) => `[${path.join('.')}] ${message}`);
    return fail(problems.join('; '));
  });
