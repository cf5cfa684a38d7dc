import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import { LogSettings } from './groups.ts';
import {
  newDuration,
  newInteger,
  newIp,
  newListenAddress,
  newMatch,
  newNumber,
  newOptional,
  newPeerAddress,
  newSetting,
  newUrl,
} from './values.ts';

const NAME = 'lower-case letters, digits, ".", "_" and "-", at most 63';
const LISTEN = 'IP:PORT, port 0 to 65535';
const MAX_DURATION_MS = 600_000;

/** Who the host is. */
export const GatewayHostSettings = z.object({
  id: newSetting(newMatch(Name), {
    name: 'host-id',
    help: 'Id of this host, unique in the deployment.',
    allowed: NAME,
  }),
  zone: newSetting(newMatch(Name), {
    name: 'zone',
    help: 'Availability zone of this host.',
    allowed: NAME,
  }),
  region: newSetting(newMatch(Name), {
    name: 'region',
    help: 'Region of this host.',
    allowed: NAME,
  }),
  incarnation: newSetting(newInteger(1, Number.MAX_SAFE_INTEGER), {
    name: 'incarnation',
    help: 'Number that differs for each start of this host.',
    allowed: 'a whole number from 1',
    default: () => String(Date.now()),
    defaultText: 'start time in Unix ms',
  }),
  sourceAddress: newSetting(newOptional(newIp()), {
    name: 'source-address',
    help: 'IP number that outgoing connections are opened from; the system chooses by default.',
    allowed: 'a specific IP number of this host',
    isOptional: true,
  }),
});

/** Where the host listens. */
export const GatewayListenSettings = z.object({
  front: newSetting(newListenAddress(), {
    name: 'front-listen',
    help: 'Address of the listener for requests that are forwarded.',
    allowed: LISTEN,
  }),
  ready: newSetting(newListenAddress(), {
    name: 'ready-listen',
    help: 'Address at which the balancer asks whether the host wants requests.',
    allowed: LISTEN,
  }),
  peers: newSetting(newListenAddress(), {
    name: 'peer-listen',
    help: 'Address of the listener for other hosts.',
    allowed: LISTEN,
  }),
  advertised: newSetting(newPeerAddress(), {
    name: 'peer-address',
    help: 'Address under which other hosts reach the peer listener.',
    allowed: 'IP:PORT by a specific IP number, port 1 to 65535',
  }),
  metrics: newSetting(newOptional(newListenAddress()), {
    name: 'metrics-listen',
    help: 'Address that serves the metrics at /metrics; nothing is served by default.',
    allowed: LISTEN,
    isOptional: true,
  }),
});

/** The directory of routes, endpoints and hosts, and the limits that the deployment sets. */
export const DirectorySettings = z.object({
  url: newSetting(newUrl(), {
    name: 'directory-url',
    help: 'URL of the store that holds routes, endpoints and hosts.',
    allowed: 'an http or https URL without credentials, query or fragment',
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
});

/** Limits on requests and on the shutdown. */
export const GatewayLimitSettings = z.object({
  maxRequests: newSetting(newInteger(1, 1_000_000), {
    name: 'max-requests',
    help: 'Requests in flight that this host takes.',
    allowed: 'a whole number from 1 to 1000000',
    default: '4096',
  }),
  lameDuckMs: newSetting(newDuration(0, MAX_DURATION_MS), {
    name: 'lame-duck',
    help: 'Time after SIGTERM for which the host waits for requests that are on their way.',
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

/** The settings of `gateway`, by group. */
export const GATEWAY_GROUPS = {
  host: GatewayHostSettings,
  listen: GatewayListenSettings,
  directory: DirectorySettings,
  limits: GatewayLimitSettings,
  log: LogSettings,
} as const;

export type GatewaySettings = {
  [G in keyof typeof GATEWAY_GROUPS]: z.infer<(typeof GATEWAY_GROUPS)[G]>;
};
