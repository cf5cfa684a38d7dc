import type { Adapter, Configuration, WarmIntent } from './types.ts';

/** Shares are decimal fractions, whose sum may exceed 1 by rounding errors. */
const SHARE_TOLERANCE = 1e-9;

/** Returns the problems of a configuration as a whole, such as missing references. */
export function validateConfiguration(configuration: Configuration): string[] {
  return [
    ...[...configuration.adapters.values()].flatMap(validateAdapter),
    ...validateEndpoints(configuration),
    ...[...configuration.warmIntents.values()].flatMap((warm) => validateWarm(configuration, warm)),
    ...validateReferences(configuration),
    ...validateShares(configuration),
  ];
}

function validateAdapter({ name, versions, inForce }: Adapter): string[] {
  if (Object.hasOwn(versions, inForce)) return [];
  const known = Object.keys(versions).join(', ') || 'none';
  return [
    `adapter ${name}: inForce names version ${inForce}, which does not exist (versions: ${known})`,
  ];
}

function validateEndpoints({ engines, services }: Configuration): string[] {
  const ids = new Map<string, string>();
  const addresses = new Map<string, string>();
  const problems: string[] = [];
  const addEndpoint = (id: string, address: string) => {
    if (ids.has(id)) problems.push(`endpoint id ${id} is used twice`);
    const otherId = addresses.get(address);
    if (otherId !== undefined)
      problems.push(`endpoints ${otherId} and ${id} have the same address ${address}`);
    ids.set(id, id);
    addresses.set(address, id);
  };
  for (const { id, address } of engines.values()) addEndpoint(id, address);
  for (const service of services.values()) {
    for (const { id, address } of service.endpoints) addEndpoint(id, address);
  }
  return problems;
}

function validateWarm(
  configuration: Configuration,
  { adapter, pool, window }: WarmIntent,
): string[] {
  const name = `warm ${adapter}/${pool}`;
  const known = configuration.adapters.get(adapter);
  const engines = [...configuration.engines.values()].filter((engine) => engine.pool === pool);
  const problems: string[] = [];
  if (known === undefined) {
    problems.push(`${name}: adapter ${adapter} does not exist; remove the warm intent too`);
  }
  if (engines.length === 0) problems.push(`${name}: pool ${pool} has no engine`);
  else if (known !== undefined && !engines.some(({ model }) => model === known.model)) {
    problems.push(`${name}: no engine of pool ${pool} runs model ${known.model}`);
  }
  if (window !== undefined && window.fromMinute === window.untilMinute) {
    problems.push(
      `${name}: the window is empty: fromMinute and untilMinute are both ${window.fromMinute}`,
    );
  }
  return problems;
}

function validateReferences({
  engines,
  services,
  leavingEndpoints,
  engineRoles,
}: Configuration): string[] {
  const endpoints = new Set(engines.keys());
  for (const service of services.values()) {
    for (const { id } of service.endpoints) endpoints.add(id);
  }
  return [
    ...[...leavingEndpoints]
      .filter((id) => !endpoints.has(id))
      .map((id) => `leaving ${id}: the endpoint does not exist; remove the leaving entry too`),
    ...[...engineRoles.keys()]
      .filter((id) => !engines.has(id))
      .map((id) => `role ${id}: the engine does not exist; remove the role entry too`),
  ];
}

function validateShares({ shares }: Configuration): string[] {
  const sum = [...shares.values()].reduce((total, share) => total + share, 0);
  if (sum <= 1 + SHARE_TOLERANCE) return [];
  return [`shares add up to ${Number(sum.toFixed(6))}; at most 1 is allowed`];
}
