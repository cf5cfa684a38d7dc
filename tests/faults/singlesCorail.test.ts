import { describe, it } from 'vitest';
import { CORAIL } from '../helpers/layouts.ts';
import { SINGLE_FAILURE_CASES } from './singles.ts';
import { getTestRows, runCase } from './runCase.ts';

describe('one failure in the layout of Corail', () => {
  it.each(getTestRows(SINGLE_FAILURE_CASES.filter(({ isLong }) => isLong !== true)))(
    '%s',
    (_title, fault) => runCase(CORAIL, fault),
  );
});
