import { z } from 'zod';
import { AccessKeyList } from './accessKeys.ts';
import {
  ACCESS_KEYS_ALLOWED,
  HostSettings,
  LISTEN_ADDRESS_ALLOWED,
  ListenSettings,
  LogSettings,
  MachineLimitSettings,
  MAX_DURATION_MS,
  URL_ALLOWED,
} from './entryGroups.ts';
import {
  newDuration,
  newInteger,
  newListenAddress,
  newNumber,
  newOptional,
  newSetting,
  newUrl,
} from './values.ts';

/** Identity of the host. */
export const GatewayHostSettings = z.object({
  ...HostSettings.pick({ id: true, zone: true, region: true, sourceAddress: true }).shape,
  incarnation: newSetting(newInteger(1, Number.MAX_SAFE_INTEGER), {
    name: 'incarnation',
    help: 'Number that differs for each start of this host.',
    allowed: 'a whole number from 1',
    default: () => String(Date.now()),
    defaultText: 'start time in Unix ms',
  }),
});

/** Listeners of the host. */
export const GatewayListenSettings = z.object({
  front: newSetting(newListenAddress(), {
    name: 'front-listen',
    help: 'Address of the listener for requests that are forwarded.',
    allowed: LISTEN_ADDRESS_ALLOWED,
  }),
  ready: newSetting(newListenAddress(), {
    name: 'ready-listen',
    help: 'Address at which the balancer asks whether the host wants requests.',
    allowed: LISTEN_ADDRESS_ALLOWED,
  }),
  peers: newSetting(newListenAddress(), {
    name: 'peer-listen',
    help: 'Address of the listener for other hosts.',
    allowed: LISTEN_ADDRESS_ALLOWED,
  }),
  ...ListenSettings.pick({ advertised: true }).shape,
  operators: newSetting(newOptional(newListenAddress()), {
    name: 'operator-listen',
    help: 'Address of the listener for operators; nothing is served by default.',
    allowed: LISTEN_ADDRESS_ALLOWED,
    isOptional: true,
  }),
  metrics: newSetting(newOptional(newListenAddress()), {
    name: 'metrics-listen',
    help: 'Address that serves the metrics at /metrics; nothing is served by default.',
    allowed: LISTEN_ADDRESS_ALLOWED,
    isOptional: true,
  }),
});

/** The directory of routes, endpoints and hosts, and the retry budget of the deployment. */
export const DirectorySettings = z.object({
  url: newSetting(newUrl(), {
    name: 'directory-url',
    help: 'URL of the store that holds routes, endpoints and hosts.',
    allowed: URL_ALLOWED,
  }),
  retryRatio: newSetting(newNumber(0, 10), {
    name: 'retry-ratio',
    help: 'Repeated sends to a service for each request, over all hosts.',
    allowed: 'a number from 0 to 10',
    default: '0.1',
  }),
  retrySlack: newSetting(newNumber(0, 1_000_000), {
    name: 'retry-slack',
    help: 'Repeated sends to a service that are allowed in any window, over all hosts.',
    allowed: 'a number from 0 to 1000000',
    default: '20',
  }),
  retryWindowMs: newSetting(newDuration(100, MAX_DURATION_MS), {
    name: 'retry-window',
    help: 'Window over which repeated sends are counted.',
    allowed: 'a duration from 100ms to 10m',
    default: '10s',
  }),
  maxKeyAgeMs: newSetting(newOptional(newDuration(100, MAX_DURATION_MS)), {
    name: 'max-key-age',
    help: 'Time after which keys of callers no longer hold without proof from the directory; no limit by default.',
    allowed: 'a duration from 100ms to 10m',
    isOptional: true,
  }),
});

const MAX_CPU_CAPACITY = 1_024;

/** Limits of the machine and time limits of the shutdown. */
export const GatewayLimitSettings = z.object({
  ...MachineLimitSettings.shape,
  cpuShare: newSetting(newOptional(newNumber(0.001, MAX_CPU_CAPACITY)), {
    name: 'cpu-share',
    help: 'Share of a core that the host may use; hosts with more capacity own engines and read for others first.',
    allowed: 'a number from 0.001 to 1024',
    isOptional: true,
  }),
  cpuSpeed: newSetting(newOptional(newNumber(0.001, MAX_CPU_CAPACITY)), {
    name: 'cpu-speed',
    help: 'Speed of that core, relative to those of the other hosts; 1 by default.',
    allowed: 'a number from 0.001 to 1024',
    isOptional: true,
  }),
  lameDuckMs: newSetting(newDuration(0, MAX_DURATION_MS), {
    name: 'lame-duck',
    help: 'Time after SIGTERM for which the host takes requests that can still end in time; at most half of --shutdown-grace.',
    allowed: 'a duration from 0ms to 10m',
    default: '3s',
  }),
  graceMs: newSetting(newDuration(1, MAX_DURATION_MS), {
    name: 'shutdown-grace',
    help: 'Time after SIGTERM at which the process is killed; it ends a little earlier.',
    allowed: 'a duration from 1ms to 10m',
    default: '30s',
  }),
});

/** Access keys of operators. */
export const GatewayAccessSettings = z.object({
  keys: newSetting(newOptional(AccessKeyList), {
    name: 'keys',
    help: 'Keys of operators; none by default.',
    allowed: ACCESS_KEYS_ALLOWED,
    isSecret: true,
    isOptional: true,
  }),
});

/** Settings of the command `gateway` by group. */
export const GATEWAY_SETTING_GROUPS = {
  host: GatewayHostSettings,
  listen: GatewayListenSettings,
  directory: DirectorySettings,
  access: GatewayAccessSettings,
  limits: GatewayLimitSettings,
  log: LogSettings,
} as const;

/** Parsed settings of the command `gateway`. */
export type GatewaySettings = {
  [G in keyof typeof GATEWAY_SETTING_GROUPS]: z.infer<(typeof GATEWAY_SETTING_GROUPS)[G]>;
};
