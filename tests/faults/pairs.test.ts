import { describe, it } from 'vitest';
import { ATLAS } from '../helpers/layouts.ts';
import { PAIRS } from './pairs.ts';
import { getRows, runCase } from './runCase.ts';

describe('two failures together', () => {
  it.each(getRows(PAIRS))('%s', (_title, fault) => runCase(ATLAS, fault));
});
