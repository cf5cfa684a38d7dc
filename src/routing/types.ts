import type { HashRing } from './hashRing.ts';

/** Hash rings of the engines by base model, and the engines that they contain. */
export class Routing {
  readonly rings = new Map<string, HashRing>();
  /** Configuration revision that `rings` reflects. */
  revision = -1;
  /** Base model of each engine in `rings`. */
  readonly engineModels = new Map<string, string>();

  private constructor() {}

  static create(): Routing {
    return new Routing();
  }
}
