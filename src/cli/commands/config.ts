import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '../../base/result.ts';
import type { ConfigurationPort, ConfigurationProblem } from '../../gatewayHost/platform.ts';
import { checkRoutingTable, type Finding } from '../../routes/checks.ts';
import { compareRoutingTables, type Difference } from '../../routes/differences.ts';
import type { RoutingTable } from '../../routes/types.ts';
import { findJsonLine } from '../jsonPlaces.ts';
import { type Command, type ExitCode, JSON_SWITCH, type Output } from '../types.ts';

/** What is found in a configuration file. */
interface Report {
  errors: (Finding & { line: number })[];
  warnings: (Finding & { line: number })[];
  differences: Difference[];
}

const VALID: ExitCode = 0;
const INVALID: ExitCode = 1;
const UNREADABLE: ExitCode = 2;

export const config: Command = {
  summary: 'Check a configuration (JSON) before it is sent; --against names the one in force.',
  positionals: ['check', 'FILE'],
  flags: [{ name: 'against', help: 'File with the configuration in force, to list what differs.' }],
  switches: [JSON_SWITCH],
  settings: 'operator',
  run: ({ flags, configuration, out, err }) => {
    const [action, file = ''] = flags.positionals;
    if (action !== 'check') {
      err(`"${action ?? ''}" is no action of config; the usage is: config check FILE`);
      return UNREADABLE;
    }
    if (configuration === undefined) {
      err('this executable was built without a platform, whose configuration it could check');
      return UNREADABLE;
    }
    const report = checkFile(configuration, file, flags.values.get('against'));
    if (report.err) {
      err(report.val);
      return UNREADABLE;
    }
    if (flags.switches.has('json')) out(JSON.stringify(report.val, undefined, 2));
    else printReport(report.val, { out, err });
    return report.val.errors.length === 0 ? VALID : INVALID;
  },
};

function checkFile(
  port: ConfigurationPort,
  file: string,
  against: string | undefined,
): Result<Report, string> {
  const read = readDocument(file);
  if (read.err) return read;
  const { text, value } = read.val;
  const withLine = ({ place, message }: Finding) => ({
    place,
    message,
    line: findJsonLine(text, place.split('.')),
  });
  const decoded = port.decode(value);
  if (Array.isArray(decoded))
    return Ok({ errors: decoded.map(newFinding).map(withLine), warnings: [], differences: [] });
  const warnings = checkRoutingTable(decoded).map(withLine);
  if (against === undefined) return Ok({ errors: [], warnings, differences: [] });
  const inForce = readTable(port, against);
  if (inForce.err) return inForce;
  if (decoded.version <= inForce.val.version) {
    const message = `version ${decoded.version} is not above ${inForce.val.version}, so hosts ignore it`;
    warnings.unshift(withLine({ place: 'version', message }));
  }
  const differences = compareRoutingTables(inForce.val, decoded);
  return Ok({ errors: [], warnings, differences });
}

function readTable(port: ConfigurationPort, file: string): Result<RoutingTable, string> {
  const read = readDocument(file);
  if (read.err) return read;
  const decoded = port.decode(read.val.value);
  return Array.isArray(decoded) ? Err(`${file} is not a valid configuration`) : Ok(decoded);
}

function readDocument(file: string): Result<{ text: string; value: unknown }, string> {
  try {
    const text = readFileSync(file, 'utf8');
    return Ok({ text, value: JSON.parse(text) as unknown });
  } catch (error) {
    return Err(`${file} cannot be read: ${error instanceof Error ? error.message : String(error)}`);
  }
}

function newFinding({ path, message }: ConfigurationProblem): Finding {
  return { place: path.map(String).join('.'), message };
}

function printReport({ errors, warnings, differences }: Report, { out }: Output): void {
  for (const { line, place, message } of errors) out(`error: line ${line}: ${place}: ${message}`);
  for (const { line, place, message } of warnings)
    out(`warning: line ${line}: ${place}: ${message}`);
  for (const { kind, name, change, fields } of differences) {
    out(`${change}: ${kind} ${name}`);
    for (const { field, before, after } of fields) out(`  ${field}: ${before} -> ${after}`);
  }
  const counts = `${errors.length} errors, ${warnings.length} warnings, ${differences.length} differences`;
  out(errors.length === 0 ? `The configuration is valid: ${counts}.` : `Not valid: ${counts}.`);
}
