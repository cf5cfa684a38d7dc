import { z } from 'zod';
import { hash32 } from '../../src/base/hash.ts';

const WORDS =
  'port cargo label tariff invoice vessel barley cask session speaker badge hall agenda poster'.split(
    ' ',
  );

/** Body of a completion or chat completion request. */
export const CompletionBody = z.looseObject({
  model: z.string(),
  prompt: z.union([z.string(), z.array(z.string())]).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).optional(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  seed: z.int().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  priority: z.number().default(0),
});
export type CompletionBody = z.infer<typeof CompletionBody>;

/** Number of tokens generated when the request sets no limit. */
export const DEFAULT_MAX_TOKENS = 16;

/** Returns the prompt text: the prompts, or the chat messages with their roles, one per line. */
export function getPrompt(body: CompletionBody): string {
  if (body.messages === undefined) return [body.prompt ?? ''].flat().join('\n');
  return body.messages
    .map(({ role, content }) => {
      const text = typeof content === 'string' ? content : JSON.stringify(content);
      return `${role}: ${text}`;
    })
    .join('\n');
}

/** Returns the number of tokens to generate; the engine always generates that many. */
export function getMaxTokens(body: CompletionBody): number {
  return body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
}

/** Returns token `index` of the completion, which is a pure function of prompt, model and seed. */
export function getToken(prompt: string, model: string, seed: number, index: number): string {
  const word = WORDS[hash32(`${prompt}\n${model}\n${seed}\n${index}`) % WORDS.length] ?? '';
  return index === 0 ? word : ` ${word}`;
}

/** Returns the complete text; tests compare it with what a caller received. */
export function getExpectedText(body: CompletionBody): string {
  const prompt = getPrompt(body);
  const indexes = Array.from({ length: getMaxTokens(body) }, (_, index) => index);
  return indexes.map((index) => getToken(prompt, body.model, body.seed ?? 0, index)).join('');
}

/** Fields that all chunks of one response have in common. */
interface ResponseIdentity {
  id: string;
  model: string;
  isChat: boolean;
}

function getCommonFields({ id, model, isChat }: ResponseIdentity, suffix: string) {
  const object = isChat ? `chat.completion${suffix}` : 'text_completion';
  return { id: isChat ? `chatcmpl-${id}` : `cmpl-${id}`, object, created: 0, model };
}

/** Returns the JSON of the stream chunk with one token. */
export function getChunk(
  identity: ResponseIdentity,
  token: string,
  index: number,
  isLast: boolean,
): string {
  const finish_reason = isLast ? 'length' : null;
  const choice = identity.isChat
    ? { delta: index === 0 ? { role: 'assistant', content: token } : { content: token } }
    : { text: token, logprobs: null };
  const choices = [{ index: 0, ...choice, finish_reason }];
  return JSON.stringify({ ...getCommonFields(identity, '.chunk'), choices });
}

function getUsage(promptTokens: number, tokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

/** Returns the JSON of the usage chunk that ends a stream with `include_usage`. */
export function getUsageChunk(
  identity: ResponseIdentity,
  promptTokens: number,
  tokens: number,
): string {
  const usage = getUsage(promptTokens, tokens);
  return JSON.stringify({ ...getCommonFields(identity, '.chunk'), choices: [], usage });
}

/** Returns the JSON body of the response to a request without streaming. */
export function getCompletionResponse(
  identity: ResponseIdentity,
  text: string,
  promptTokens: number,
  tokens: number,
): string {
  const choice = identity.isChat
    ? { message: { role: 'assistant', content: text } }
    : { text, logprobs: null };
  const choices = [{ index: 0, ...choice, finish_reason: 'length' }];
  const usage = getUsage(promptTokens, tokens);
  return JSON.stringify({ ...getCommonFields(identity, ''), choices, usage });
}
