import { isIP } from 'node:net';
import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import type { Seed } from '../core/state.ts';
import { type SettingDescription, settingDescriptions } from './types.ts';

const MAX_PORT = 65_535;
const DURATION_MS = { ms: 1, s: 1_000, m: 60_000 } as const;
const SIZE_BYTES = { '': 1, KiB: 1_024, MiB: 1_048_576 } as const;

type Text<T> = z.ZodType<T, string | undefined>;

/** Adds the description of a setting to its schema. */
export function newSetting<T>(schema: Text<T>, meta: SettingDescription): Text<T> {
  settingDescriptions.add(schema, meta);
  return schema;
}

/** Returns a schema that turns text into a value; `parse` returns undefined for what is not allowed. */
function newText<T>(parse: (text: string) => T | undefined): Text<T> {
  return z.string({ error: 'is required' }).transform((text, context) => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: 'is not allowed' });
    return z.NEVER;
  });
}

/** An IP number and a port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Parses `IP:PORT` or `[IPv6]:PORT`; undefined when it is neither. */
export function parseAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  const version = match?.[1] === undefined ? 4 : 6;
  return isIP(host) === version && port <= MAX_PORT ? { host, port } : undefined;
}

/** Address to listen on; port 0 lets the system choose. */
export function newListenAddress(): Text<SocketAddress> {
  return newText(parseAddress);
}

/** IP number of one interface. */
export function newIpAddress(): Text<string> {
  return newText((text) => (isIP(text) === 0 || isUnspecified(text) ? undefined : text));
}

/** `IP:PORT` that other hosts connect to. */
export function newPeerAddress(): Text<string> {
  return newText((text) => (isPeerAddress(text) ? text : undefined));
}

/** Hosts and their peer addresses, `HOST=IP:PORT` separated by commas; no host twice. */
export function newSeedList(): Text<Seed[]> {
  return newText((text) => {
    const seeds = text.split(',').map((part) => {
      const [host = '', address = ''] = part.trim().split('=');
      return { host, address };
    });
    const hosts = new Set(seeds.map(({ host }) => host));
    const areValid = seeds.every(
      ({ host, address }) => Name.safeParse(host).success && isPeerAddress(address),
    );
    return areValid && hosts.size === seeds.length ? seeds : undefined;
  });
}

/** `http` or `https` URL without credentials, query or fragment; a trailing slash is removed. */
export function newUrl(): Text<string> {
  return newText((text) => {
    if (!URL.canParse(text)) return undefined;
    const url = new URL(text);
    const isPlain = url.username + url.password + url.search + url.hash === '';
    const isHttp = url.protocol === 'http:' || url.protocol === 'https:';
    return isPlain && isHttp ? text.replace(/\/+$/, '') : undefined;
  });
}

/** Returns the schema of a number from `min` to `max`. */
export function newNumber(min: number, max: number): Text<number> {
  return newText((text) => getInRange(/^\d+(\.\d+)?$/.test(text) ? Number(text) : NaN, min, max));
}

/** Returns the schema of a whole number from `min` to `max`. */
export function newInteger(min: number, max: number): Text<number> {
  return newText((text) => getInRange(/^\d+$/.test(text) ? Number(text) : NaN, min, max));
}

/** Duration such as `500ms`, `10s` or `2m`, in milliseconds. */
export function newDuration(minMs: number, maxMs: number): Text<number> {
  return newText((text) => {
    const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
    if (match === null) return undefined;
    return getInRange(
      Number(match[1]) * DURATION_MS[match[2] as keyof typeof DURATION_MS],
      minMs,
      maxMs,
    );
  });
}

/** Size such as `16KiB`, `1MiB` or a number of bytes, in bytes. */
export function newSize(minBytes: number, maxBytes: number): Text<number> {
  return newText((text) => {
    const match = /^(\d{1,9})(KiB|MiB|)$/.exec(text);
    if (match === null) return undefined;
    return getInRange(
      Number(match[1]) * SIZE_BYTES[match[2] as keyof typeof SIZE_BYTES],
      minBytes,
      maxBytes,
    );
  });
}

/** Returns the schema of one of `choices`. */
export function newChoice<const T extends string>(choices: readonly T[]): Text<T> {
  return newText((text) => choices.find((choice) => choice === text));
}

/** Text that `schema` accepts. */
export function newMatching<T>(schema: z.ZodType<T>): Text<T> {
  return newText((text) => schema.safeParse(text).data);
}

/** Returns a schema that passes undefined on. */
export function newOptional<T>(schema: Text<T>): Text<T | undefined> {
  return z.union([z.undefined(), schema], { error: 'is not allowed' });
}

function isPeerAddress(text: string): boolean {
  const address = parseAddress(text);
  return address !== undefined && address.port !== 0 && !isUnspecified(address.host);
}

function isUnspecified(host: string): boolean {
  return /^(0\.0\.0\.0|[0:]+)$/.test(host);
}

function getInRange(value: number, min: number, max: number): number | undefined {
  return value >= min && value <= max ? value : undefined;
}
