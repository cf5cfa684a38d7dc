import { describe, it } from 'vitest';
import { ATLAS } from '../helpers/layouts.ts';
import { runCase } from './runCase.ts';
import { SINGLES } from './singles.ts';

describe('one failure in the layout of Atlas', () => {
  it.each(SINGLES)('$failures: $name', (fault) => runCase(ATLAS, fault));
});
