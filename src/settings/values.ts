import { isIP } from 'node:net';
import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import type { Seed } from '../core/state.ts';
import { type SettingDescription, settingDescriptions } from './types.ts';

const MAX_PORT = 65_535;
const DURATION_MS = { ms: 1, s: 1_000, m: 60_000 } as const;
const SIZE_BYTES = { '': 1, KiB: 1_024, MiB: 1_048_576 } as const;

/** Schema that parses the text of a setting; undefined when the setting is not given. */
type TextSchema<T> = z.ZodType<T, string | undefined>;

/** Registers the description of a setting and returns its schema. */
export function newSetting<T>(
  schema: TextSchema<T>,
  description: SettingDescription,
): TextSchema<T> {
  settingDescriptions.add(schema, description);
  return schema;
}

/** Returns a schema that converts text by `parse`, which returns undefined for invalid text. */
function newTextSchema<T>(parse: (text: string) => T | undefined): TextSchema<T> {
  return z.string({ error: 'is required' }).transform((text, context) => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: 'is not allowed' });
    return z.NEVER;
  });
}

/** An IP address and a port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Parses `IPv4:PORT` or `[IPv6]:PORT`; returns undefined for other text. */
export function parseAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  const version = match?.[1] === undefined ? 4 : 6;
  return isIP(host) === version && port <= MAX_PORT ? { host, port } : undefined;
}

/** Returns the schema of a listen address; port 0 makes the system choose a port. */
export function newListenAddress(): TextSchema<SocketAddress> {
  return newTextSchema(parseAddress);
}

/** Returns the schema of the IP address of one interface; the unspecified address is invalid. */
export function newIpAddress(): TextSchema<string> {
  return newTextSchema((text) => (isIP(text) === 0 || isUnspecified(text) ? undefined : text));
}

/** Returns the schema of an `IP:PORT` that other hosts connect to. */
export function newPeerAddress(): TextSchema<string> {
  return newTextSchema((text) => (isPeerAddress(text) ? text : undefined));
}

/** Returns the schema of a comma-separated list of `HOST=IP:PORT` without duplicate hosts. */
export function newSeedList(): TextSchema<Seed[]> {
  return newTextSchema((text) => {
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

/**
 * Returns the schema of an `http` or `https` URL without credentials, query or fragment; trailing
 * slashes are removed.
 */
export function newUrl(): TextSchema<string> {
  return newTextSchema((text) => {
    if (!URL.canParse(text)) return undefined;
    const url = new URL(text);
    const isPlain = url.username + url.password + url.search + url.hash === '';
    const isHttp = url.protocol === 'http:' || url.protocol === 'https:';
    return isPlain && isHttp ? text.replace(/\/+$/, '') : undefined;
  });
}

/** Returns the schema of a number from `min` to `max`. */
export function newNumber(min: number, max: number): TextSchema<number> {
  return newTextSchema((text) =>
    getIfInRange(/^\d+(\.\d+)?$/.test(text) ? Number(text) : NaN, min, max),
  );
}

/** Returns the schema of a whole number from `min` to `max`. */
export function newInteger(min: number, max: number): TextSchema<number> {
  return newTextSchema((text) => getIfInRange(/^\d+$/.test(text) ? Number(text) : NaN, min, max));
}

/** Returns the schema of a duration such as `500ms`, `10s` or `2m`, in milliseconds. */
export function newDuration(minMs: number, maxMs: number): TextSchema<number> {
  return newTextSchema((text) => {
    const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
    if (match === null) return undefined;
    return getIfInRange(
      Number(match[1]) * DURATION_MS[match[2] as keyof typeof DURATION_MS],
      minMs,
      maxMs,
    );
  });
}

/** Returns the schema of a size such as `16KiB`, `1MiB` or `4096`, in bytes. */
export function newSize(minBytes: number, maxBytes: number): TextSchema<number> {
  return newTextSchema((text) => {
    const match = /^(\d{1,9})(KiB|MiB|)$/.exec(text);
    if (match === null) return undefined;
    return getIfInRange(
      Number(match[1]) * SIZE_BYTES[match[2] as keyof typeof SIZE_BYTES],
      minBytes,
      maxBytes,
    );
  });
}

/** Returns the schema of one of `choices`. */
export function newChoice<const T extends string>(choices: readonly T[]): TextSchema<T> {
  return newTextSchema((text) => choices.find((choice) => choice === text));
}

/** Returns the schema of text that `schema` accepts. */
export function newMatching<T>(schema: z.ZodType<T>): TextSchema<T> {
  return newTextSchema((text) => schema.safeParse(text).data);
}

/** Returns a schema that also accepts a missing value. */
export function newOptional<T>(schema: TextSchema<T>): TextSchema<T | undefined> {
  return z.union([z.undefined(), schema], { error: 'is not allowed' });
}

function isPeerAddress(text: string): boolean {
  const address = parseAddress(text);
  return address !== undefined && address.port !== 0 && !isUnspecified(address.host);
}

function isUnspecified(host: string): boolean {
  return /^(0\.0\.0\.0|[0:]+)$/.test(host);
}

function getIfInRange(value: number, min: number, max: number): number | undefined {
  return value >= min && value <= max ? value : undefined;
}
