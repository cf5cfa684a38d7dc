import { describe, it } from 'vitest';
import { CORAIL } from '../helpers/layouts.ts';
import { PLANNED } from './planned.ts';
import { runCase } from './runCase.ts';

describe('crash requests and planned changes', () => {
  it.each(PLANNED)('$failures: $name', (fault) => runCase(CORAIL, fault));
});
