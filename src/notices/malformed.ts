import type { Effect } from '../core/effects.ts';
import { newLog } from '../core/observations.ts';
import type { EndpointView } from '../fleet/types.ts';
import { MALFORMED_LOG_INTERVAL_MS, MAX_LOGGED_VALUE_LENGTH } from './constants.ts';
import type { EndpointNotice } from './types.ts';

/** Returns what stands for a header value of another form than expected, cut for the log. */
export function newMalformed(value: string): { type: 'malformed'; value: string } {
  return { type: 'malformed', value: value.slice(0, MAX_LOGGED_VALUE_LENGTH) };
}

/** Returns the log lines of what could not be read, at most once in an interval for each endpoint. */
export function observeMalformed(
  view: EndpointView,
  notice: EndpointNotice,
  now: number,
): Effect[] {
  const subjects = ['limit', 'leaving', 'brittle', 'pause'] as const;
  const malformed = subjects.flatMap((subject) => {
    const said = notice[subject];
    return said.type === 'malformed' ? [{ subject, value: said.value }] : [];
  });
  if (malformed.length === 0 || view.malformedLoggedAt + MALFORMED_LOG_INTERVAL_MS > now) return [];
  view.malformedLoggedAt = now;
  const { id: endpoint } = view.endpoint;
  return malformed.map((fields) =>
    newLog('warn', 'endpoint sent a malformed notice', { endpoint, ...fields }),
  );
}
