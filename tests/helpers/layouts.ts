/** Numbers of hosts, engines and endpoints of one availability zone. */
export interface ZoneLayout {
  name: string;
  hosts: number;
  engines: number;
  endpoints: number;
}

/** Zones of a deployment and the names of its region, pool and service. */
export interface Layout {
  name: string;
  region: string;
  pool: string;
  service: string;
  zones: readonly ZoneLayout[];
}

export const ATLAS: Layout = {
  name: 'atlas',
  region: 'ma-north',
  pool: 'koji-llm',
  service: 'order-desk',
  zones: [
    { name: 'casa-a', hosts: 2, engines: 2, endpoints: 1 },
    { name: 'casa-b', hosts: 2, engines: 2, endpoints: 1 },
    { name: 'rabat-a', hosts: 2, engines: 1, endpoints: 1 },
    { name: 'tanger-a', hosts: 2, engines: 1, endpoints: 1 },
  ],
};

export const CORAIL: Layout = {
  name: 'corail',
  region: 'mu-north',
  pool: 'programme-llm',
  service: 'congress-app',
  zones: [
    { name: 'pamplemousses', hosts: 3, engines: 5, endpoints: 1 },
    { name: 'port-louis', hosts: 3, engines: 4, endpoints: 1 },
    { name: 'grand-baie', hosts: 2, engines: 4, endpoints: 1 },
  ],
};

export const BASE_MODEL = 'base';
export const FIRMS = ['atlas', 'corail'] as const;
export type Firm = (typeof FIRMS)[number];
export const VERSIONS = ['v1', 'v2'] as const;
/** Higher than at the firms' weight stores (2.5 and 4 per s), where fault cases would mostly wait for loads. */
export const LOADS_PER_S = 16;
export const ENGINE_SLOTS = 4;
export const ENGINE_BATCH = 16;
const ADAPTERS_PER_FIRM = 20;

/** Returns the names of the adapters of `firm` in revision 1. */
export function getFirmAdapters(firm: Firm): string[] {
  return Array.from({ length: ADAPTERS_PER_FIRM }, (_, index) => `${firm}-${index}`);
}

/** Layout for tests that need a single host only. */
export const SINGLE_HOST: Layout = {
  name: 'small',
  region: 'local',
  pool: 'small-llm',
  service: 'desk',
  zones: [{ name: 'local', hosts: 1, engines: 2, endpoints: 1 }],
};
