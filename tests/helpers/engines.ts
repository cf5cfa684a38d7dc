import type { Change } from '../../src/configuration/types.ts';
import type { Effect } from '../../src/core/effects.ts';
import type { AttemptOutcome, NewRequest } from '../../src/requests/types.ts';
import type { StepHost, StepSimulation } from './stepSimulation.ts';

/** Returns changes that create `count` engines and the adapter `a` with two versions. */
export function newEngineChanges(count: number, inForce = 'v1'): Change[] {
  const engines = Array.from({ length: count }, (_, index): Change => ({
    type: 'putEngine',
    engine: {
      id: `e${index + 1}`,
      address: `e${index + 1}:1`,
      zone: 'z',
      pool: 'p',
      model: 'm',
      slots: 4,
      batch: 8,
      checksFencing: true,
    },
  }));
  return [...engines, newAdapterChange(inForce)];
}

export function newAdapterChange(inForce: string): Change {
  const versions = { v1: { source: 's1' }, v2: { source: 's2' } };
  return { type: 'putAdapter', adapter: { name: 'a', firm: 'f', model: 'm', versions, inForce } };
}

/** Answers an engine order as done in a later step; ignores all other effects. */
export function answerOrder(simulation: StepSimulation, host: StepHost, effect: Effect): void {
  if (effect.type !== 'orderEngine') return;
  const { engine, epoch, order } = effect;
  simulation.dispatchLater(host, () => ({
    type: 'orderAnswered',
    engine,
    epoch,
    order,
    answer: { type: 'done' },
  }));
}

/** Returns the outcome of an attempt that completed on `model`. */
export function newCompletedOutcome(model: string): AttemptOutcome {
  const [adapter = '', version = ''] = model.split('@');
  return { type: 'completed', adapter, version, tokens: 1 };
}

/** Returns a request for the adapter `a` with a deadline at 60 s. */
export function newRequest(id: string, parts: Partial<NewRequest> = {}): NewRequest {
  return {
    ...{ id, firm: 'f', caller: 'c', kind: 'ordinary', adapter: 'a', version: undefined },
    ...{ deadline: 60_000, fingerprint: id, maxTokens: 8, draft: undefined },
    ...parts,
  };
}
