/** Size of a deployment; factor 1 is today's size, 100 the size expected in two years (design 1.7). */
export interface DeploymentSize {
  readonly factor: number;
  readonly engines: number;
  readonly hosts: number;
  readonly adapters: number;
}

/** Sizes that the scale bench measures. */
export const SIZES: readonly DeploymentSize[] = [
  { factor: 1, engines: 25, hosts: 16, adapters: 3_000 },
  { factor: 10, engines: 250, hosts: 78, adapters: 10_000 },
  { factor: 100, engines: 2_500, hosts: 390, adapters: 34_000 },
];

/** Number of zones, adapter slots and batch slots per engine, and number of base models. */
export const ZONES = 8;
export const SLOTS = 8;
export const BATCH = 32;
export const MODELS = 5;
