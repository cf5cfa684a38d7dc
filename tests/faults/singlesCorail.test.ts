import { describe, it } from 'vitest';
import { CORAIL } from '../helpers/layouts.ts';
import { SINGLES } from './singles.ts';
import { getRows, runCase } from './runCase.ts';

describe('one failure in the layout of Corail', () => {
  it.each(getRows(SINGLES.filter(({ isLong }) => isLong !== true)))('%s', (_title, fault) =>
    runCase(CORAIL, fault),
  );
});
