import { describe, it } from 'vitest';
import { ATLAS } from '../helpers/layouts.ts';
import { SINGLES } from './singles.ts';
import { getRows, runCase } from './runCase.ts';

describe('one failure, with long waits, in the layout of Atlas', () => {
  it.each(getRows(SINGLES.filter(({ isLong }) => isLong === true)))('%s', (_title, fault) =>
    runCase(ATLAS, fault),
  );
});
