import type { State } from '../core/state.ts';

/** Whether `engine` may get new work: it is not leaving and it answers. */
export function isUsable(state: State, engine: string): boolean {
  const view = state.engines.views.get(engine)?.state;
  return !state.configuration.leaving.has(engine) && view !== 'leaving' && view !== 'unreachable';
}
