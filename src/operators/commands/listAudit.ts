import { AUDIT_PREFIX } from '../../configuration/constants.ts';
import { getAuditKey } from '../../configuration/keys.ts';
import type { TableAnswerHandlers } from '../../core/handlers.ts';
import { getFailureReason } from '../../core/store.ts';
import { Failure } from '../../errors/failure.ts';
import { answerWithResult, answerWithFailure, type CommandHandler } from '../answer.ts';
import { AuditEntry } from '../types.ts';

/** Lists audit entries, oldest first. */
export const listAudit: CommandHandler<'listAudit'> = (state, request, { after, limit }) => {
  const newest = Math.max(0, state.configuration.revision - limit);
  return [
    {
      type: 'callTable',
      call: {
        type: 'scan',
        prefix: AUDIT_PREFIX,
        after: after === undefined ? getAuditKey(newest) : AUDIT_PREFIX + after,
        limit,
      },
      purpose: { type: 'readAudit', requestId: request.id },
    },
  ];
};

/** Handler of the answer to the scan of the audit trail. */
export const listAuditAnswers: TableAnswerHandlers<'readAudit'> = {
  readAudit: (state, { requestId }, answer) => {
    const request = state.operators.pendingRequests.get(requestId);
    if (request === undefined) return [];
    if (answer.type !== 'ok' && answer.type !== 'missing') {
      const message = `the audit trail could not be read: ${getFailureReason(answer)}`;
      return answerWithFailure(state, request, Failure.create('store_unavailable', message));
    }
    const rows = answer.type === 'ok' ? answer.rows : [];
    const entries = rows.flatMap(({ key, value }) => {
      const entry = AuditEntry.safeParse(value);
      return entry.success ? [{ id: key.slice(AUDIT_PREFIX.length), ...entry.data }] : [];
    });
    return answerWithResult(state, request, {
      entries,
      next: rows.at(-1)?.key.slice(AUDIT_PREFIX.length),
    });
  },
};
