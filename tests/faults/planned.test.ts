import { describe, it } from 'vitest';
import { CORAIL } from '../helpers/layouts.ts';
import { PLANNED } from './planned.ts';
import { getRows, runCase } from './runCase.ts';

describe('crash requests and planned changes', () => {
  it.each(getRows(PLANNED))('%s', (_title, fault) => runCase(CORAIL, fault));
});
