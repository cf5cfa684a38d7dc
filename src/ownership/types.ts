import { z } from 'zod';
import { Name } from '../configuration/types.ts';

/** Row `zone/Z`: members of a zone that may own its engines. */
export const ZoneRow = z.object({
  epoch: z.int().min(1),
  members: z.array(z.object({ host: Name, incarnation: z.int().min(0) })),
});
export type ZoneRow = z.infer<typeof ZoneRow>;

export class Ownership {
  /** Last zone row read or written; undefined before the first read. */
  row: ZoneRow | undefined;
  rowVersion = '';
  /** Monotonic ms until which this host's lease is valid. */
  leaseUntil = -Infinity;

  private constructor() {}

  static create(): Ownership {
    return new Ownership();
  }
}
