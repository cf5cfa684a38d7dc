import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import { MAX_REQUEST_DEADLINE_MS } from '../requests/constants.ts';
import { AccessKeyList } from './accessKeys.ts';
import {
  newChoice,
  newDuration,
  newInteger,
  newIpAddress,
  newListenAddress,
  newMatching,
  newNumber,
  newOptional,
  newPeerAddress,
  newSeedList,
  newSetting,
  newSize,
  newUrl,
} from './values.ts';

const NAME_ALLOWED = 'lower-case letters, digits, ".", "_" and "-", at most 63';
/** Allowed values of a listen address. */
export const LISTEN_ADDRESS_ALLOWED = 'IP:PORT, port 0 to 65535';
/** Allowed values of a URL. */
export const URL_ALLOWED = 'an http or https URL without credentials, query or fragment';
/** Upper bound of most durations. */
export const MAX_DURATION_MS = 600_000;
const MAX_COUNT = 1_000_000;
const MAX_BODY_BYTES = 67_108_864;
const MAX_MEMORY_MB = 1_048_576;
const MAX_DESCRIPTORS = 1_048_576;

/** Identity of the host. */
export const HostSettings = z.object({
  id: newSetting(newMatching(Name), {
    name: 'host-id',
    help: 'Id of this host, unique in the deployment.',
    allowed: NAME_ALLOWED,
  }),
  zone: newSetting(newMatching(Name), {
    name: 'zone',
    help: 'Availability zone of this host.',
    allowed: NAME_ALLOWED,
  }),
  region: newSetting(newMatching(Name), {
    name: 'region',
    help: 'Region of this host.',
    allowed: NAME_ALLOWED,
  }),
  incarnation: newSetting(newInteger(1, Number.MAX_SAFE_INTEGER), {
    name: 'incarnation',
    help: 'Number that grows with each start of this host.',
    allowed: 'a whole number from 1',
    default: () => String(Math.floor(Date.now() / 1_000)),
    defaultText: 'start time in Unix seconds',
  }),
  sourceAddress: newSetting(newOptional(newIpAddress()), {
    name: 'source-address',
    help: 'IP number that outgoing connections are opened from; the system chooses by default.',
    allowed: 'a specific IP number of this host',
    isOptional: true,
  }),
  seeds: newSetting(newOptional(newSeedList()), {
    name: 'seeds',
    help: 'Hosts to contact at the start, beside those of the host list.',
    allowed: 'HOST=IP:PORT by specific IP numbers, separated by commas, no host twice',
    isOptional: true,
  }),
});

/** Listeners of the host. */
export const ListenSettings = z.object({
  callers: newSetting(newListenAddress(), {
    name: 'caller-listen',
    help: 'Address of the listener for callers.',
    allowed: LISTEN_ADDRESS_ALLOWED,
    default: '0.0.0.0:8080',
  }),
  operators: newSetting(newListenAddress(), {
    name: 'operator-listen',
    help: 'Address of the listener for operators.',
    allowed: LISTEN_ADDRESS_ALLOWED,
    default: '0.0.0.0:8081',
  }),
  peers: newSetting(newListenAddress(), {
    name: 'peer-listen',
    help: 'Address of the listener for other hosts.',
    allowed: LISTEN_ADDRESS_ALLOWED,
    default: '0.0.0.0:8082',
  }),
  advertised: newSetting(newPeerAddress(), {
    name: 'peer-address',
    help: 'Address under which other hosts reach the peer listener.',
    allowed: 'IP:PORT by a specific IP number, port 1 to 65535',
  }),
});

/** Services of the platform. */
export const PlatformSettings = z.object({
  tableUrl: newSetting(newUrl(), {
    name: 'table-url',
    help: 'URL of the table service.',
    allowed: URL_ALLOWED,
  }),
  objectsUrl: newSetting(newUrl(), {
    name: 'objects-url',
    help: 'URL of the object store.',
    allowed: URL_ALLOWED,
  }),
  hostsUrl: newSetting(newUrl(), {
    name: 'hosts-url',
    help: 'URL of the host list.',
    allowed: URL_ALLOWED,
  }),
});

export const ACCESS_KEYS_ALLOWED =
  'a JSON list of { name, firm, role: "caller" or "operator", sha256 }, or the path of a file that holds one';

/** Access keys. */
export const AccessSettings = z.object({
  keys: newSetting(AccessKeyList, {
    name: 'keys',
    help: 'Keys of callers and operators.',
    allowed: ACCESS_KEYS_ALLOWED,
    isSecret: true,
  }),
});

/** Parameters of scheduling decisions. */
export const PolicySettings = z.object({
  stallWeight: newSetting(newNumber(0, 1), {
    name: 'stall-weight',
    help: 'Weight of load stalls against batch efficiency.',
    allowed: 'a number from 0 (batch efficiency only) to 1 (load stalls only)',
    default: '0.5',
  }),
  loadsPerS: newSetting(newNumber(0.01, 10_000), {
    name: 'loads-per-second',
    help: 'Adapter loads a second that the weight store allows for the whole deployment.',
    allowed: 'a number from 0.01 to 10000',
    default: '2.5',
  }),
});

/** Limits of the machine, which bound what callers may make the host hold. */
export const MachineLimitSettings = z.object({
  memoryMb: newSetting(newOptional(newInteger(1, MAX_MEMORY_MB)), {
    name: 'memory',
    help: 'Memory of the machine in MB, from which follows what callers may make the host hold; 64 MiB by default.',
    allowed: 'a whole number from 1 to 1048576',
    isOptional: true,
  }),
  descriptors: newSetting(newOptional(newInteger(1, MAX_DESCRIPTORS)), {
    name: 'descriptors',
    help: 'Descriptors that the process may open, from which follows how many connections callers may keep.',
    allowed: 'a whole number from 1 to 1048576',
    isOptional: true,
  }),
});

/** Limits on requests and on the shutdown. */
export const LimitSettings = z.object({
  ...MachineLimitSettings.shape,
  maxRequests: newSetting(newInteger(1, MAX_COUNT), {
    name: 'max-requests',
    help: 'Requests in flight that this host takes.',
    allowed: 'a whole number from 1 to 1000000',
    default: '4096',
  }),
  maxRequestsPerCaller: newSetting(newInteger(1, MAX_COUNT), {
    name: 'max-requests-per-caller',
    help: 'Requests in flight that one caller may have on this host.',
    allowed: 'a whole number from 1 to 1000000',
    default: '256',
  }),
  defaultRequestMs: newSetting(newDuration(1, MAX_REQUEST_DEADLINE_MS), {
    name: 'default-deadline',
    help: 'Deadline of a request that names none.',
    allowed: 'a duration from 1ms to 2m, at most --max-deadline',
    default: '60s',
  }),
  maxRequestMs: newSetting(newDuration(1, MAX_REQUEST_DEADLINE_MS), {
    name: 'max-deadline',
    help: 'Longest deadline that a caller may ask for.',
    allowed: 'a duration from 1ms to 2m',
    default: '120s',
  }),
  bodyBytes: newSetting(newSize(1_024, MAX_BODY_BYTES), {
    name: 'body-limit',
    help: "Largest body of a caller's request.",
    allowed: 'a size from 1KiB to 64MiB',
    default: '1MiB',
  }),
  operatorBodyBytes: newSetting(newSize(1_024, MAX_BODY_BYTES), {
    name: 'operator-body-limit',
    help: "Largest body of an operator's request.",
    allowed: 'a size from 1KiB to 64MiB',
    default: '4MiB',
  }),
  headerBytes: newSetting(newSize(1_024, 1_048_576), {
    name: 'header-limit',
    help: 'Largest size of all headers of a request.',
    allowed: 'a size from 1KiB to 1MiB',
    default: '16KiB',
  }),
  slowSenderMs: newSetting(newDuration(1, MAX_DURATION_MS), {
    name: 'slow-sender-limit',
    help: 'Time within which the whole body of a request must arrive.',
    allowed: 'a duration from 1ms to 10m',
    default: '10s',
  }),
  progressMs: newSetting(newDuration(1, MAX_DURATION_MS), {
    name: 'progress-timeout',
    help: 'Longest silence of a stream from an engine.',
    allowed: 'a duration from 1ms to 10m',
    default: '10s',
  }),
  lameDuckMs: newSetting(newDuration(0, MAX_DURATION_MS), {
    name: 'lame-duck',
    help: 'Time after SIGTERM during which new requests are still accepted.',
    allowed: 'a duration from 0ms to 10m',
    default: '3s',
  }),
  shutdownMs: newSetting(newDuration(1, 3_600_000), {
    name: 'shutdown-limit',
    help: 'Time after SIGTERM within which the process ends.',
    allowed: 'a duration from --max-deadline to 60m',
    default: '130s',
  }),
});

/** Logging. */
export const LogSettings = z.object({
  level: newSetting(newChoice(['debug', 'info', 'warn', 'error']), {
    name: 'log-level',
    help: 'Lowest level of the lines that are logged.',
    allowed: 'debug, info, warn or error',
    default: 'info',
  }),
});

/** Host and key that operator commands use. */
export const OperatorSettings = z.object({
  server: newSetting(newUrl(), {
    name: 'server',
    help: "URL of a host's listener for operators.",
    allowed: URL_ALLOWED,
    default: 'http://127.0.0.1:8081',
  }),
  key: newSetting(newOptional(newMatching(z.string().regex(/^[\x21-\x7e]+$/))), {
    name: 'operator-key',
    help: 'Key of the operator.',
    allowed: 'printable ASCII characters without spaces',
    isOptional: true,
    isSecret: true,
  }),
});

/** Settings of the command `entry` by group. */
export const ENTRY_SETTING_GROUPS = {
  host: HostSettings,
  listen: ListenSettings,
  platform: PlatformSettings,
  access: AccessSettings,
  policy: PolicySettings,
  limits: LimitSettings,
  log: LogSettings,
} as const;

/** Parsed settings of the command `entry`. */
export type EntrySettings = {
  [G in keyof typeof ENTRY_SETTING_GROUPS]: z.infer<(typeof ENTRY_SETTING_GROUPS)[G]>;
};
