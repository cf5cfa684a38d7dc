import { RUN_MS } from './constants.ts';
import type { Deployment, Scenario, RequestStream } from './types.ts';

function newNodes(
  prefix: string,
  zones: readonly string[],
  count: number,
): { id: string; zone: string }[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${prefix}-${index}`,
    zone: zones[index % zones.length] ?? '',
  }));
}

const ATLAS_ZONES = ['casa-a', 'casa-b', 'rabat-a', 'tanger-a'];
const CORAIL_ZONES = ['pamplemousses', 'port-louis', 'grand-baie'];

const atlas: Deployment = {
  name: 'atlas',
  zones: ATLAS_ZONES,
  engines: newNodes('koji', ATLAS_ZONES, 6),
  hosts: newNodes('atlas-host', ATLAS_ZONES, 8),
  loadsPerS: 2.5,
  zoneLatencyMs: 0.5,
  stallWeight: 0.8,
  shares: { atlas: 0.7, corail: 0.3 },
};

const corail: Deployment = {
  name: 'corail',
  zones: CORAIL_ZONES,
  engines: newNodes('programme', CORAIL_ZONES, 13),
  hosts: newNodes('corail-host', CORAIL_ZONES, 8),
  loadsPerS: 4,
  zoneLatencyMs: 1.5,
  stallWeight: 0.2,
  shares: { atlas: 0.3, corail: 0.7 },
};

/** Creates the streams of a firm from its rates of urgent, ordinary and draft requests and a factor over time. */
function newStreams(
  firm: string,
  [urgent, ordinary, draft]: [number, number, number],
  factor: (at: number) => number = () => 1,
): RequestStream[] {
  return [
    { firm, kind: 'urgent', ratePerS: (at) => urgent * factor(at) },
    { firm, kind: 'ordinary', ratePerS: (at) => ordinary * factor(at) },
    { firm, kind: 'draft', ratePerS: (at) => draft * factor(at) },
  ];
}

/** One rise and fall over the run, from 0.5 to 1.5 and back. */
const wave = (at: number) => 1 - 0.5 * Math.cos((2 * Math.PI * at) / RUN_MS);
/** Bursts of 20 s every 45 s, at three times the rate between them. */
const bursts = (at: number) => (at % 45_000 < 20_000 ? 1.5 : 0.5);

const atlasStreams = [
  ...newStreams('atlas', [1.2, 0.6, 1.5]),
  ...newStreams('corail', [0.3, 0.2, 0.6]),
];
const corailStreams = [...newStreams('corail', [3, 3, 10]), ...newStreams('atlas', [0.5, 0.5, 2])];

/** Scenarios of design section 8. */
export const SCENARIOS = {
  'atlas-day': {
    deployment: atlas,
    zipf: 1.1,
    streams: [
      ...newStreams('atlas', [1.2, 0.6, 1.5], wave),
      ...newStreams('corail', [0.3, 0.2, 0.6]),
    ],
    shifts: [{ at: 90_000, fraction: 0.05 }],
    faults: [],
  },
  'corail-peak': {
    deployment: corail,
    zipf: 1.2,
    streams: [...newStreams('corail', [4, 4, 20], bursts), ...newStreams('atlas', [0.5, 0.5, 2])],
    shifts: [{ at: 90_000, fraction: 0.05 }],
    faults: [],
  },
  shift: {
    deployment: atlas,
    zipf: 1.1,
    streams: atlasStreams,
    shifts: [
      { at: 60_000, fraction: 0.5 },
      { at: 120_000, fraction: 0.5 },
    ],
    faults: [],
  },
  restart: {
    deployment: atlas,
    zipf: 1.1,
    streams: atlasStreams,
    shifts: [],
    faults: [{ type: 'restartEngine', at: 60_000, engine: 2, downMs: 8_000 }],
  },
  'failing-loads': {
    deployment: atlas,
    zipf: 1.1,
    streams: atlasStreams,
    shifts: [],
    faults: [{ type: 'failLoads', from: 60_000, until: 120_000, fraction: 0.2 }],
  },
  'slow-store': {
    deployment: corail,
    zipf: 1.2,
    streams: corailStreams,
    shifts: [],
    faults: [{ type: 'slowStore', from: 60_000, until: 120_000, factor: 4 }],
  },
  'other-peak': {
    deployment: corail,
    zipf: 1.2,
    streams: [
      ...newStreams('corail', [0.5, 0.5, 2]),
      ...newStreams('atlas', [4, 3, 12], (at) => (at > 60_000 && at < 140_000 ? 1.5 : 0.3)),
    ],
    shifts: [],
    faults: [],
  },
  'zone-cut': {
    deployment: atlas,
    zipf: 1.1,
    streams: atlasStreams,
    shifts: [],
    faults: [{ type: 'partitionZone', from: 60_000, until: 120_000, zone: 'casa-b' }],
  },
} as const satisfies Record<string, Omit<Scenario, 'name'>>;

/** Name of a scenario, as `--scenario` takes it. */
export type ScenarioName = keyof typeof SCENARIOS;

/** Returns the scenario with its name. */
export function getScenario(name: ScenarioName): Scenario {
  return { name, ...SCENARIOS[name] };
}
