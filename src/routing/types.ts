import type { HashRing } from './hashRing.ts';

/** Rings of the engines of each base model, and the engine set that they were built from. */
export class Routing {
  readonly rings = new Map<string, HashRing>();
  /** Configuration revision that `rings` was checked against. */
  revision = -1;
  /** Engines and their models that `rings` was built from. */
  readonly engineModels = new Map<string, string>();

  private constructor() {}

  static create(): Routing {
    return new Routing();
  }
}
