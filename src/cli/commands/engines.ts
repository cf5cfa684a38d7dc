import { z } from 'zod';
import { formatTable } from '../format.ts';
import { newOperatorCommand } from '../operatorCommand.ts';

const EnginesAnswer = z.looseObject({
  engines: z.array(
    z.looseObject({
      id: z.string(),
      zone: z.string(),
      pool: z.string(),
      state: z.string(),
      owner: z.string().nullable(),
      slots: z.int(),
      residents: z.array(z.string()),
      running: z.number(),
      waiting: z.number(),
      isLeaving: z.boolean(),
    }),
  ),
});

export const engines = newOperatorCommand({
  summary: 'List the engines with their owners, residents and load.',
  schema: EnginesAnswer,
  getCall: () => ({ method: 'GET', path: '/v1/engines' }),
  formatAnswer: (answer) =>
    formatTable(
      ['ENGINE', 'ZONE', 'POOL', 'STATE', 'OWNER', 'RESIDENTS', 'RUNNING', 'WAITING'],
      answer.engines.map((engine) => [
        engine.id,
        engine.zone,
        engine.pool,
        engine.isLeaving ? 'leaving' : engine.state,
        engine.owner ?? '-',
        `${engine.residents.length}/${engine.slots}`,
        String(engine.running),
        String(engine.waiting),
      ]),
    ),
});
