import { Err, Ok, type Result } from '../base/result.ts';
import { z } from 'zod';
import { sha256 } from '../base/hash.ts';
import { Failure } from '../errors/failure.ts';

const DEFAULT_MAX_TOKENS = 256;
/** JSON.stringify overflows the stack on deeply nested bodies that JSON.parse accepts. */
const MAX_DEPTH = 64;
/** Fields left out of the body hash: the model, the user and how the response is delivered. */
const UNHASHED_FIELDS = new Set(['model', 'stream', 'stream_options', 'user']);

const Model = z.string().regex(/^[^@\s]+(@[^@\s]+)?$/, 'must be "adapter" or "adapter@version"');
const Text = z.union([z.string(), z.array(z.unknown())]);
const Common = {
  model: Model,
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
};

export const CompletionBody = z.looseObject({ ...Common, prompt: Text });
export const ChatBody = z.looseObject({
  ...Common,
  messages: z
    .array(z.looseObject({ role: z.string(), content: z.union([Text, z.null()]).optional() }))
    .min(1),
});
type ParsedBody = z.infer<typeof CompletionBody> | z.infer<typeof ChatBody>;

/** A parsed completion request; `body` is the JSON object as the caller sent it. */
export interface CompletionRequest {
  adapter: string;
  version: string | undefined;
  body: Record<string, unknown>;
  isStream: boolean;
  maxTokens: number;
  bodyHash: string;
}

/** Parses the body of a completion request; fails with `bad_request`, naming the invalid field. */
export function parseCompletionRequest(
  bytes: Buffer,
  schema: typeof CompletionBody | typeof ChatBody,
): Result<CompletionRequest, Failure> {
  let json: unknown;
  try {
    json = JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(Failure.create('bad_request', `the body is not valid JSON: ${reason}`));
  }
  if (isDeeperThan(json, MAX_DEPTH)) {
    const message = `the body is nested more than ${MAX_DEPTH} levels deep`;
    return Err(Failure.create('bad_request', message));
  }
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const param = issue?.path.join('.') ?? '';
    const where = param === '' ? 'the body' : `field "${param}"`;
    return Err(
      Failure.create('bad_request', `${where} is not valid: ${issue?.message ?? ''}`, { param }),
    );
  }
  return Ok(getCompletion(parsed.data));
}

function isDeeperThan(value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false;
  return depth === 0 || Object.values(value).some((part) => isDeeperThan(part, depth - 1));
}

function getCompletion(body: ParsedBody): CompletionRequest {
  const [adapter = '', version] = body.model.split('@');
  return {
    adapter,
    version,
    body,
    isStream: body.stream === true,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    bodyHash: getBodyHash(body),
  };
}

/** Hashes the fields that determine the generated output, sorted by name; skips `UNHASHED_FIELDS`. */
function getBodyHash(body: ParsedBody): string {
  const entries = Object.entries(body)
    .filter(([field]) => !UNHASHED_FIELDS.has(field))
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return sha256(JSON.stringify(entries));
}
