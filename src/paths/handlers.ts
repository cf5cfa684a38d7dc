import type { EventHandlers } from '../core/handlers.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { PathEvent } from './types.ts';

export const pathEvents: EventHandlers<PathEvent['type']> = {
  pathSilent: ({ forwards }, { silentMs }) => {
    const waiting = [...forwards.inFlight.values()].flatMap(({ attempt }) => attempt ?? []);
    return [
      newCount('fireflywick_silent_paths_total', {}),
      newLog('warn', 'no endpoint sends anything to this host', {
        silentMs: Math.round(silentMs),
        waiting: waiting.length,
        endpoints: [...new Set(waiting.map(({ endpoint }) => endpoint))],
      }),
    ];
  },
};
