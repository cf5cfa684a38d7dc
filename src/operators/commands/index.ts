import type { TableAnswerHandlers } from '../../core/handlers.ts';
import type { CommandHandler } from '../answer.ts';
import type { OperatorCommand, OperatorPurpose } from '../types.ts';
import {
  clearSuspectWithAudit,
  deleteDraft,
  auditedCommandAnswers,
  retryDraft,
} from './auditedCommands.ts';
import { confirmPlan, confirmPlanAnswers } from './confirmPlan.ts';
import { listAudit, listAuditAnswers } from './listAudit.ts';
import { listDrafts } from './listDrafts.ts';
import { listEngines } from './listEngines.ts';
import { listHosts } from './listHosts.ts';
import { listSuspects } from './listSuspects.ts';
import { makePlan, makePlanAnswers } from './makePlan.ts';
import { showConfiguration } from './showConfiguration.ts';
import { showPlan, showPlanAnswers } from './showPlan.ts';

/** Handlers of the commands of operators. */
export const commandHandlers: { [T in OperatorCommand['type']]: CommandHandler<T> } = {
  showConfiguration,
  makePlan,
  showPlan,
  confirmPlan,
  listAudit,
  listHosts,
  listEngines,
  listDrafts,
  retryDraft,
  deleteDraft,
  listSuspects,
  clearSuspect: clearSuspectWithAudit,
};

/** Handlers of the answers of the table service. */
export const operatorTableHandlers: TableAnswerHandlers<OperatorPurpose['type']> = {
  ...makePlanAnswers,
  ...showPlanAnswers,
  ...confirmPlanAnswers,
  ...listAuditAnswers,
  ...auditedCommandAnswers,
};
