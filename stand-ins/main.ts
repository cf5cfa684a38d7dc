import meow from 'meow';
import { ZodError } from 'zod';
import { Engine } from './engine/engine.ts';
import { HostList } from './hostList.ts';
import { ObjectStore } from './objectStore.ts';
import { FaultProxy } from './proxy/faultProxy.ts';
import type { StandIn } from './server.ts';
import { RecordingService } from './recordingService.ts';
import { TableService } from './tableService.ts';
import { WeightStore } from './weightStore.ts';

const cli = meow(
  `
  Usage
    $ npm run stand-in -- NAME [--host HOST] [--port PORT] [--OPTION VALUE ...]

  Names
    engine, service, weights, table, objects, hosts, proxy

  Prints its address as one line of JSON when it is ready. The proxy also prints the
  address of its control server when --control-port is given.
`,
  { importMeta: import.meta, allowUnknownFlags: true },
);

type Options = Record<string, unknown>;

// `create` validates the options, which come from the command line.
const STAND_INS: Record<string, ((options: never) => StandIn) | undefined> = {
  engine: Engine.create.bind(Engine),
  service: RecordingService.create.bind(RecordingService),
  weights: WeightStore.create.bind(WeightStore),
  table: TableService.create.bind(TableService),
  objects: ObjectStore.create.bind(ObjectStore),
  hosts: HostList.create.bind(HostList),
  proxy: FaultProxy.create.bind(FaultProxy),
};

function getOptions(): Options {
  const entries = Object.entries(cli.flags).map(([name, value]) => {
    const isNumber = typeof value === 'string' && /^\d+(\.\d+)?$/.test(value);
    return [name, isNumber ? Number(value) : value] as const;
  });
  return Object.fromEntries(entries);
}

async function run(): Promise<void> {
  const name = cli.input[0] ?? '';
  const create = STAND_INS[name];
  if (create === undefined) {
    console.error(
      `unknown stand-in "${name}"; expected one of ${Object.keys(STAND_INS).join(', ')}`,
    );
    process.exit(2);
  }
  const options = getOptions();
  const standIn = create(options as never);
  const address = await standIn.start();
  const hasControl = standIn instanceof FaultProxy && options.controlPort !== undefined;
  const control = hasControl ? { control: await standIn.startControl() } : {};
  console.log(JSON.stringify({ address, ...control }));
  const stop = () => {
    void standIn.stop().finally(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

run().catch((error: unknown) => {
  const isUsage = error instanceof ZodError;
  console.error(isUsage ? error.message : String(error));
  process.exit(isUsage ? 2 : 1);
});
