import type { z } from 'zod';
import { describeSettingProblems, parseOperatorSettings } from '../settings/parse.ts';
import { type AdminCall, AdminClient, type AdminFailure } from './adminClient.ts';
import { indentLines } from './format.ts';
import { type Command, type ExitCode, type Flag, type Invocation, JSON_SWITCH } from './types.ts';

interface OperatorCommandOptions<T> {
  summary: string;
  positionals?: readonly string[];
  flags?: readonly Flag[];
  schema: z.ZodType<T>;
  getCall: (invocation: Invocation) => AdminCall;
  /** Formats the answer for people; `--json` prints it as JSON instead. */
  formatAnswer: (answer: T) => string;
}

/** Returns a command that makes one call to the operators' API and prints the answer. */
export function newOperatorCommand<T>(options: OperatorCommandOptions<T>): Command {
  const { summary, positionals = [], flags = [], schema, getCall, formatAnswer } = options;
  return {
    summary,
    positionals,
    flags,
    switches: [JSON_SWITCH],
    settings: 'operator',
    run: (invocation) =>
      withAdminClient(invocation, async (client) => {
        const answer = await client.call(getCall(invocation), schema);
        if (answer.err) return printFailure(invocation, answer.val);
        printAnswer(invocation, answer.val, formatAnswer);
        return 0;
      }),
  };
}

/** Runs `work` with a client for the settings; prints invalid settings and returns 2. */
export async function withAdminClient(
  invocation: Invocation,
  work: (client: AdminClient) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = parseOperatorSettings(invocation.flags, invocation.env);
  if (settings.ok) return work(AdminClient.create(settings.val));
  invocation.err(describeSettingProblems(settings.val));
  return 2;
}

/** Prints an answer, as JSON with `--json`. */
export function printAnswer<T>(
  { flags, out }: Invocation,
  answer: T,
  formatAnswer: (answer: T) => string,
): void {
  const isJson = flags.switches.has(JSON_SWITCH.name);
  out(isJson ? JSON.stringify(answer, undefined, 2) : formatAnswer(answer));
}

/** Prints why a command failed, as JSON with `--json`, and returns 1. */
export function printFailure({ flags, err }: Invocation, failure: AdminFailure): ExitCode {
  const { message, details } = failure;
  if (flags.switches.has(JSON_SWITCH.name)) err(JSON.stringify({ error: failure }));
  else err(details.length === 0 ? message : `${message}\n${indentLines(details)}`);
  return 1;
}
