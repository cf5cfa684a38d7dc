import { describe, it } from 'vitest';
import { ATLAS } from '../helpers/layouts.ts';
import { PAIRS } from './pairs.ts';
import { runCase } from './runCase.ts';

describe('two failures together', () => {
  it.each(PAIRS)('$failures: $name', (fault) => runCase(ATLAS, fault));
});
