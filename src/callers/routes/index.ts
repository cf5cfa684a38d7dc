import type { Route } from '../types.ts';
import { chatCompletions, completions } from './completions.ts';
import { deleteDraft, readDraft } from './drafts.ts';
import { models } from './models.ts';
import { serviceRoot, services } from './services.ts';

/** All routes of the callers' API. */
export const routes: readonly Route[] = [
  chatCompletions,
  completions,
  models,
  readDraft,
  deleteDraft,
  services,
  serviceRoot,
];
