import { Engine } from '../../stand-ins/engine/engine.ts';
import { HostList } from '../../stand-ins/hostList.ts';
import { ObjectStore } from '../../stand-ins/objectStore.ts';
import type { StandIn } from '../../stand-ins/server.ts';
import { RecordingService } from '../../stand-ins/recordingService.ts';
import { TableService } from '../../stand-ins/tableService.ts';
import { WeightStore } from '../../stand-ins/weightStore.ts';
import { sha256 } from '../base/hash.ts';
import { TableClient } from '../clients/tableClient.ts';
import { HEAD_KEY } from '../configuration/constants.ts';
import { getRevisionKey } from '../configuration/keys.ts';
import type { Change, Revision } from '../configuration/types.ts';
import { holdSignals } from '../host/processSignals.ts';
import { EntryHost } from '../host/entryHost.ts';
import { describeSettingProblems, parseEntrySettings } from '../settings/parse.ts';
import { getEnvironmentVariable } from '../settings/types.ts';

const CALLER_KEY = 'demo-caller';
const OPERATOR_KEY = 'demo-operator';
const FIRM = 'demo';
const ZONE = 'local';
const MODEL = 'demo-base';
const ENGINE_SLOTS = 4;
const ENGINE_BATCH = 16;
const ADAPTERS = ['label-translation', 'order-status', 'session-summary'];

/** The stand-ins for the platform's services and engines, which run in this process. */
export interface QuickstartPlatform {
  tableUrl: string;
  objectsUrl: string;
  hostsUrl: string;
  engines: readonly Engine[];
  service: RecordingService;
  stop(): Promise<void>;
}

/** Runs one entry host and stand-ins for the platform in this process until a signal stops it. */
export async function runQuickstart(argv: string[], env: NodeJS.ProcessEnv): Promise<number> {
  const platform = await startQuickstartPlatform();
  const settings = parseEntrySettings(argv, { ...getQuickstartSettings(platform), ...env });
  if (settings.err) {
    console.error(describeSettingProblems(settings.val));
    await platform.stop();
    return 2;
  }
  const host = EntryHost.create(settings.val);
  const ports = await host.start();
  printReadyMessage(ports.callerPort);
  const signals = holdSignals();
  signals.on('SIGHUP', () => process.kill(process.pid, 'SIGTERM'));
  await signals.waitForStop();
  await host.stop();
  await platform.stop();
  return 0;
}

/** Starts the stand-ins and writes the initial configuration to the table. */
export async function startQuickstartPlatform(): Promise<QuickstartPlatform> {
  const table = TableService.create();
  const objects = ObjectStore.create();
  const hosts = HostList.create();
  const weights = WeightStore.create();
  const engines = ['engine-1', 'engine-2'].map((id) =>
    Engine.create({ id, slots: ENGINE_SLOTS, maxBatch: ENGINE_BATCH }),
  );
  const service = RecordingService.create();
  const standIns: StandIn[] = [table, objects, hosts, weights, service, ...engines];
  const [tableAddress = '', objectsAddress = '', hostsAddress = '', weightsAddress = ''] =
    await Promise.all(standIns.slice(0, 4).map((standIn) => standIn.start()));
  const serviceAddress = await service.start();
  const engineAddresses = await Promise.all(engines.map((engine) => engine.start()));
  await writeConfiguration(tableAddress, [
    ...engineAddresses.map((address, index) => newEngineChange(`engine-${index + 1}`, address)),
    ...ADAPTERS.map((name) => newAdapterChange(name, weightsAddress)),
    newServiceChange(serviceAddress),
  ]);
  return {
    tableUrl: `http://${tableAddress}`,
    objectsUrl: `http://${objectsAddress}`,
    hostsUrl: `http://${hostsAddress}`,
    engines,
    service,
    stop: async () => {
      await Promise.all(standIns.map((standIn) => standIn.stop()));
    },
  };
}

function newEngineChange(id: string, address: string): Change {
  return {
    type: 'putEngine',
    engine: {
      id,
      address,
      zone: ZONE,
      pool: 'demo-llm',
      model: MODEL,
      slots: ENGINE_SLOTS,
      batch: ENGINE_BATCH,
      checksFencing: true,
    },
  };
}

function newAdapterChange(name: string, weightsAddress: string): Change {
  const source = `http://${weightsAddress}/weights/${name}`;
  return {
    type: 'putAdapter',
    adapter: {
      name,
      firm: FIRM,
      model: MODEL,
      versions: { v1: { source: `${source}@v1` }, v2: { source: `${source}@v2` } },
      inForce: 'v2',
    },
  };
}

function newServiceChange(address: string): Change {
  return {
    type: 'putService',
    service: {
      name: 'bookings',
      endpoints: [{ id: 'bookings-1', address, zone: ZONE }],
      repeatable: [{ method: 'GET', path: '/*' }],
    },
  };
}

async function writeConfiguration(tableAddress: string, changes: Change[]): Promise<void> {
  const revision: Revision = {
    revision: 1,
    changes,
    operator: 'quickstart',
    confirmedAtUnixMs: Date.now(),
    plan: 'quickstart',
  };
  const condition = { type: 'absent' } as const;
  const table = TableClient.create({ address: tableAddress });
  const answer = await table.call({
    type: 'write',
    writes: [
      { type: 'put', key: getRevisionKey(1), value: revision, condition },
      { type: 'put', key: HEAD_KEY, value: { revision: 1 }, condition },
    ],
  });
  await table.close();
  if (answer.type !== 'ok')
    throw new Error(`the first configuration was not written: ${answer.type}`);
}

/** Returns the settings of quickstart as environment variables; the user's own override them. */
export function getQuickstartSettings({
  tableUrl,
  objectsUrl,
  hostsUrl,
}: QuickstartPlatform): Record<string, string> {
  const keys = [
    { name: 'demo', firm: FIRM, role: 'caller', sha256: sha256(CALLER_KEY) },
    { name: 'demo', firm: FIRM, role: 'operator', sha256: sha256(OPERATOR_KEY) },
  ];
  const settings = {
    'host-id': 'quickstart',
    zone: ZONE,
    region: 'local',
    'caller-listen': '127.0.0.1:8080',
    'operator-listen': '127.0.0.1:8081',
    'peer-listen': '127.0.0.1:8082',
    'peer-address': '127.0.0.1:8082',
    'table-url': tableUrl,
    'objects-url': objectsUrl,
    'hosts-url': hostsUrl,
    keys: JSON.stringify(keys),
    'loads-per-second': '4',
    'log-level': 'warn',
  };
  return Object.fromEntries(
    Object.entries(settings).map(([name, value]) => [getEnvironmentVariable(name), value]),
  );
}

function printReadyMessage(callerPort: number): void {
  console.log(
    [
      'fireflywick is ready.',
      `  callers:   http://127.0.0.1:${callerPort}  key ${CALLER_KEY}`,
      `  operators: http://127.0.0.1:8081  key ${OPERATOR_KEY}`,
      `  models:    ${ADAPTERS.map((name) => `${name}@v2`).join(', ')}`,
      'Press Ctrl+C to stop.',
    ].join('\n'),
  );
}
