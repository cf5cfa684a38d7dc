import { z } from 'zod';
import { hash32 } from '../../src/base/hash.ts';

const WORDS =
  'port cargo label tariff invoice vessel barley cask session speaker badge hall agenda poster'.split(
    ' ',
  );

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

/** Tokens generated for a request that names no limit. */
export const DEFAULT_MAX_TOKENS = 16;

/** Returns the text that the engine takes as the prompt of `body`. */
export function getPrompt(body: CompletionBody): string {
  if (body.messages === undefined) return [body.prompt ?? ''].flat().join('\n');
  return body.messages
    .map(({ role, content }) => {
      const text = typeof content === 'string' ? content : JSON.stringify(content);
      return `${role}: ${text}`;
    })
    .join('\n');
}

/** Returns the number of tokens that a request asks for. */
export function getMaxTokens(body: CompletionBody): number {
  return body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
}

/** Returns token `index` of the only answer that `model` gives to `prompt` with `seed`. */
export function getToken(prompt: string, model: string, seed: number, index: number): string {
  const word = WORDS[hash32(`${prompt}\n${model}\n${seed}\n${index}`) % WORDS.length] ?? '';
  return index === 0 ? word : ` ${word}`;
}

/** Returns the whole answer; checkers compare it with what a caller received. */
export function getExpectedText(body: CompletionBody): string {
  const prompt = getPrompt(body);
  const indexes = Array.from({ length: getMaxTokens(body) }, (_, index) => index);
  return indexes.map((index) => getToken(prompt, body.model, body.seed ?? 0, index)).join('');
}

interface ResponseIdentity {
  id: string;
  model: string;
  isChat: boolean;
}

function getCommonFields({ id, model, isChat }: ResponseIdentity, suffix: string) {
  const object = isChat ? `chat.completion${suffix}` : 'text_completion';
  return { id: isChat ? `chatcmpl-${id}` : `cmpl-${id}`, object, created: 0, model };
}

/** Returns the chunk of one token as JSON. */
export function getChunk(
  frame: ResponseIdentity,
  token: string,
  index: number,
  isLast: boolean,
): string {
  const finish_reason = isLast ? 'length' : null;
  const choice = frame.isChat
    ? { delta: index === 0 ? { role: 'assistant', content: token } : { content: token } }
    : { text: token, logprobs: null };
  const choices = [{ index: 0, ...choice, finish_reason }];
  return JSON.stringify({ ...getCommonFields(frame, '.chunk'), choices });
}

function getUsage(promptTokens: number, tokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

/** Returns the chunk that ends a stream with `include_usage`. */
export function getUsageChunk(
  frame: ResponseIdentity,
  promptTokens: number,
  tokens: number,
): string {
  const usage = getUsage(promptTokens, tokens);
  return JSON.stringify({ ...getCommonFields(frame, '.chunk'), choices: [], usage });
}

/** Returns the answer to a request that is not a stream. */
export function getCompletionResponse(
  frame: ResponseIdentity,
  text: string,
  promptTokens: number,
  tokens: number,
): string {
  const choice = frame.isChat
    ? { message: { role: 'assistant', content: text } }
    : { text, logprobs: null };
  const choices = [{ index: 0, ...choice, finish_reason: 'length' }];
  const usage = getUsage(promptTokens, tokens);
  return JSON.stringify({ ...getCommonFields(frame, ''), choices, usage });
}
