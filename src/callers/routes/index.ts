import type { Route } from '../context.ts';
import { chatCompletions, completions } from './complete.ts';
import { models } from './models.ts';

/** Every route of the callers' API. */
export const routes: readonly Route[] = [chatCompletions, completions, models];
