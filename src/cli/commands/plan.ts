import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '../../base/result.ts';
import { indentLines } from '../format.ts';
import { printAnswer, printFailure, withAdminClient } from '../operatorCommand.ts';
import { PlanAnswer } from '../schemas.ts';
import { type Command, JSON_SWITCH } from '../types.ts';

const STDIN = 0;

export const plan: Command = {
  summary: 'Submit an intent (JSON or YAML; - reads standard input) and show the plan.',
  positionals: ['FILE'],
  flags: [],
  switches: [JSON_SWITCH],
  settings: 'operator',
  run: (invocation) =>
    withAdminClient(invocation, async (client) => {
      const body = readIntent(invocation.flags.positionals[0] ?? '');
      if (body.err) return printFailure(invocation, { message: body.val, details: [] });
      const call = { method: 'POST', path: '/v1/plans', body: body.val } as const;
      const answer = await client.call(call, PlanAnswer);
      if (answer.err) return printFailure(invocation, answer.val);
      printAnswer(invocation, answer.val, ({ id, baseRevision, lines }) =>
        lines.length === 0
          ? `Nothing to change: revision ${baseRevision} already has it.`
          : `Plan ${id} for revision ${baseRevision}:\n${indentLines(lines)}\nNothing is changed yet. To apply it: fireflywick confirm ${id}`,
      );
      return 0;
    }),
};

function readIntent(file: string): Result<string, string> {
  try {
    return Ok(readFileSync(file === '-' ? STDIN : file, 'utf8'));
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return Err(`file "${file}" cannot be read (${reason})`);
  }
}
