/** What is known of a request that may crash engines. */
export interface Suspect {
  fingerprint: string;
  strikes: number;
  /** Whether it crashed an engine as the only suspect there. */
  isCondemned: boolean;
  /** Engines that crashed while it ran. */
  engines: string[];
}

export class Suspects {
  readonly byFingerprint = new Map<string, Suspect>();

  private constructor() {}

  static create(): Suspects {
    return new Suspects();
  }
}
