import type { DirectoryHostEffect, Effect } from '../../core/effects.ts';
import type { EffectRunners, HostContext } from '../context.ts';
import { attemptRunners } from './attempts.ts';
import { actionAndDraftRunners } from './actionsAndDrafts.ts';
import { externalCallRunners } from './externalCalls.ts';
import { peerRunners } from './peers.ts';

const runners: EffectRunners<Exclude<Effect['type'], DirectoryHostEffect['type']>> = {
  ...attemptRunners,
  ...externalCallRunners,
  ...peerRunners,
  ...actionAndDraftRunners,
  log: (context, effect) => context.observer.observe(effect),
  count: (context, effect) => context.observer.observe(effect),
  observe: (context, effect) => context.observer.observe(effect),
  gauge: (context, effect) => context.observer.observe(effect),
  answerOperator: (context, effect) => context.answerOperator(effect.id, effect.answer),
  stopped: (context) => context.onStopped(),
};

/** Runs one effect. */
export function runEffect(context: HostContext, effect: Effect): void {
  const table = runners as Partial<Record<Effect['type'], unknown>>;
  const run = table[effect.type] as (context: HostContext, effect: Effect) => void;
  run(context, effect);
}
