import type { z } from 'zod';
import { describeSettingProblems, parseOperatorSettings } from '../settings/parse.ts';
import { type AdminCall, AdminClient, type AdminFailure } from './adminClient.ts';
import { indentLines } from './format.ts';
import { type Command, type ExitCode, type Flag, type Invocation, JSON_SWITCH } from './types.ts';

interface QueryOptions<T> {
  summary: string;
  input?: readonly string[];
  flags?: readonly Flag[];
  schema: z.ZodType<T>;
  getCall: (invocation: Invocation) => AdminCall;
  /** Returns the answer in words. */
  formatAnswer: (answer: T) => string;
}

/** Returns a command that makes one call and prints the answer. */
export function newOperatorCommand<T>(options: QueryOptions<T>): Command {
  const { summary, input = [], flags = [], schema, getCall, formatAnswer: getText } = options;
  return {
    summary,
    positionals: input,
    flags,
    switches: [JSON_SWITCH],
    settings: 'operator',
    run: (invocation) =>
      withAdminClient(invocation, async (client) => {
        const answer = await client.call(getCall(invocation), schema);
        if (answer.err) return printFailure(invocation, answer.val);
        printAnswer(invocation, answer.val, getText);
        return 0;
      }),
  };
}

/** Runs `work` with a client made from the settings; wrong settings are reported as wrong usage. */
export async function withAdminClient(
  invocation: Invocation,
  work: (client: AdminClient) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = parseOperatorSettings(invocation.flags, invocation.env);
  if (settings.ok) return work(AdminClient.create(settings.val));
  invocation.err(describeSettingProblems(settings.val));
  return 2;
}

/** Prints an answer as JSON with `--json`, otherwise in words. */
export function printAnswer<T>(
  { flags, out }: Invocation,
  answer: T,
  getText: (answer: T) => string,
): void {
  const isJson = flags.switches.has(JSON_SWITCH.name);
  out(isJson ? JSON.stringify(answer, undefined, 2) : getText(answer));
}

/** Prints why there is no answer; as JSON with `--json`. */
export function printFailure({ flags, err }: Invocation, failure: AdminFailure): ExitCode {
  const { message, details } = failure;
  if (flags.switches.has(JSON_SWITCH.name)) err(JSON.stringify({ error: failure }));
  else err(details.length === 0 ? message : `${message}\n${indentLines(details)}`);
  return 1;
}
