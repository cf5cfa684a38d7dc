import type { MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { handleQuotaAnswer } from '../forwards/quotaAdmission.ts';
import { answerQuotaRequest, logQuotas } from './accounts.ts';
import type { QuotaTimer } from './types.ts';
import { handleSilentAccountant, meterTenant, reportQuotas } from './usage.ts';

export const quotaMessages: MessageHandlers<'quotaAsked' | 'quotaTold' | 'tenantMetered'> = {
  quotaAsked: (state, request, from, now) => answerQuotaRequest(state, request, from, now),
  quotaTold: (state, answer, _from, now) => handleQuotaAnswer(state, answer, now),
  tenantMetered: (state, { tenant }) => {
    meterTenant(state, tenant);
    return [];
  },
};

export const quotaTimers: TimerHandlers<QuotaTimer['type']> = {
  reportQuotas: (state, _timer, now) => reportQuotas(state, now),
  logQuotas: (state, _timer, now) => logQuotas(state, now),
  quotaTimeout: (state, { ask }, now) => handleSilentAccountant(state, ask, now),
};
