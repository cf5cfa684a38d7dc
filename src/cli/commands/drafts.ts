import { z } from 'zod';
import { DraftState } from '../../drafts/types.ts';
import type { AdminCall } from '../adminClient.ts';
import { formatTable } from '../format.ts';
import { newOperatorCommand } from '../operatorCommand.ts';
import type { Invocation } from '../types.ts';

const DraftsAnswer = z.looseObject({
  type: z.enum(['queued', 'deleted']).optional(),
  drafts: z
    .array(
      z.looseObject({
        id: z.string(),
        firm: z.string(),
        caller: z.string(),
        adapter: z.string(),
        version: z.string(),
        state: z.string(),
        attempts: z.int(),
        failure: z.looseObject({ kind: z.string(), message: z.string() }).optional(),
      }),
    )
    .default([]),
  next: z.string().optional(),
});
type DraftsAnswer = z.infer<typeof DraftsAnswer>;

export const drafts = newOperatorCommand({
  summary: 'List poison drafts, or retry or delete one.',
  flags: [
    { name: 'state', help: `State to list: ${DraftState.options.join(', ')}; default poison.` },
    { name: 'after', help: 'The value of "next" in the previous page.' },
    { name: 'retry', help: 'Id of a failed or poison draft to run again.' },
    { name: 'delete', help: 'Id of a draft to delete.' },
  ],
  schema: DraftsAnswer,
  getCall: (invocation) => newDraftsCall(invocation),
  formatAnswer: (answer) =>
    answer.type === undefined ? formatDraftList(answer) : `The draft is ${answer.type}.`,
});

function newDraftsCall({ flags }: Invocation): AdminCall {
  const retry = flags.values.get('retry');
  const deleted = flags.values.get('delete');
  if (retry !== undefined) {
    return { method: 'POST', path: `/v1/drafts/${encodeURIComponent(retry)}/retry` };
  }
  if (deleted !== undefined) {
    return { method: 'DELETE', path: `/v1/drafts/${encodeURIComponent(deleted)}` };
  }
  const query = new URLSearchParams({ state: flags.values.get('state') ?? 'poison' });
  const after = flags.values.get('after');
  if (after !== undefined) query.set('after', after);
  return { method: 'GET', path: `/v1/drafts?${query.toString()}` };
}

function formatDraftList({ drafts, next }: DraftsAnswer): string {
  const nextPage = next === undefined ? '' : `\nNext: --after ${next}`;
  if (drafts.length === 0) return `No drafts.${nextPage}`;
  const rows = drafts.map((draft) => [
    draft.id,
    draft.firm,
    draft.caller,
    `${draft.adapter}@${draft.version}`,
    draft.state,
    String(draft.attempts),
    draft.failure === undefined ? '' : `${draft.failure.kind}: ${draft.failure.message}`,
  ]);
  const titles = ['DRAFT', 'FIRM', 'CALLER', 'MODEL', 'STATE', 'ATTEMPTS', 'FAILURE'];
  return formatTable(titles, rows) + nextPage;
}
