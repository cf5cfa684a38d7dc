import { describe, it } from 'vitest';
import { CORAIL } from '../helpers/layouts.ts';
import { PLANNED_CASES } from './planned.ts';
import { getTestRows, runCase } from './runCase.ts';

describe('crash requests and planned changes', () => {
  it.each(getTestRows(PLANNED_CASES))('%s', (_title, fault) => runCase(CORAIL, fault));
});
