import type { FailedStep } from './loop.ts';

/**
 * Fields of events, effects and timers that hold the id of a request, or an object with such a field.
 * Messages between hosts are left out: a request that waits for one has a timer.
 */
const ID_FIELDS = ['id', 'requestId', 'request', 'forward', 'action', 'draft', 'spec', 'purpose'];

/** Returns the id of the request that an event, an effect or a timer is about, if it is about one. */
export function getRequestId(step: FailedStep): string | undefined {
  return findId(step);
}

function findId(value: object): string | undefined {
  const fields = new Map<string, unknown>(Object.entries(value));
  for (const name of ID_FIELDS) {
    const field = fields.get(name);
    if (typeof field === 'string') return field;
    if (typeof field !== 'object' || field === null) continue;
    const id = findId(field);
    if (id !== undefined) return id;
  }
  return undefined;
}
