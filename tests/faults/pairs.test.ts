import { describe, it } from 'vitest';
import { ATLAS } from '../helpers/layouts.ts';
import { FAILURE_PAIR_CASES } from './pairs.ts';
import { getTestRows, runCase } from './runCase.ts';

describe('two failures together', () => {
  it.each(getTestRows(FAILURE_PAIR_CASES))('%s', (_title, fault) => runCase(ATLAS, fault));
});
