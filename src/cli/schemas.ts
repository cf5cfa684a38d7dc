import { z } from 'zod';
import { Plan } from '../configuration/plan.ts';

/** Schemas of answers of the operators' API, with the fields that commands use; others are kept. */
export const PlanAnswer = Plan.loose();
export const ConfirmAnswer = z.looseObject({ plan: z.string(), revision: z.int() });
export const HostsAnswer = z.looseObject({
  hosts: z.array(
    z.looseObject({
      host: z.string(),
      zone: z.string(),
      state: z.string(),
      address: z.string(),
      configurationRevision: z.int(),
      isReachable: z.boolean(),
    }),
  ),
});
export type HostsAnswer = z.infer<typeof HostsAnswer>;
