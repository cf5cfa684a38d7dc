import type { RequestLabels } from '../forwards/types.ts';

/**
 * What may crash the endpoints that run a request: the request itself, or something that it shares with
 * others. From the narrowest to the broadest: of two attributes with the same crashes, the narrower one
 * is quarantined, since fewer requests have it.
 */
const KINDS = ['request', 'promptPart', 'adapter', 'caller', 'model'] as const;
export type AttributeKind = (typeof KINDS)[number];

/** When an attribute of a kind is quarantined, and for how long. */
interface QuarantineRule {
  /** Crashes that are enough if no request with the attribute is known to have been completed. */
  minCrashes: number;
  /** Different requests that must have run at these crashes. */
  minRequests: number;
  /**
   * Time in ms after the last change until one request may run as a trial, by the trials so far; after
   * these trials, the attribute stays quarantined until its record expires.
   */
  quarantineMs: readonly number[];
}

const SHARED: QuarantineRule = {
  minCrashes: 2,
  minRequests: 2,
  quarantineMs: [30_000, 600_000, 7_200_000],
};

export const QUARANTINE_RULES: Record<AttributeKind, QuarantineRule> = {
  request: { minCrashes: 3, minRequests: 1, quarantineMs: [60_000, 600_000, 7_200_000] },
  promptPart: SHARED,
  adapter: SHARED,
  caller: SHARED,
  model: SHARED,
};

/** An attribute of a request. */
export interface Attribute {
  /** The fingerprint of a request, or `KIND:VALUE`. */
  key: string;
  /** Position of a prompt part; 0 for other kinds. */
  depth: number;
}

/** Returns the attributes of a request that is forwarded; `version` is that of its adapter. */
export function getAttributes(
  { fingerprint, caller, labels }: { fingerprint: string; caller: string; labels: RequestLabels },
  version: number,
): Attribute[] {
  const { promptParts, adapter, model } = labels;
  const parts = promptParts.map((part, depth) => ({ key: newKey('promptPart', part), depth }));
  const others = [
    adapter === '' ? undefined : newKey('adapter', `${adapter}@${version}`),
    caller === '' ? undefined : newKey('caller', caller),
    model === '' ? undefined : newKey('model', model.split('/')[0] ?? model),
  ].filter((key) => key !== undefined);
  return [{ key: fingerprint, depth: 0 }, ...parts, ...others.map((key) => ({ key, depth: 0 }))];
}

/** Returns the kind of the attribute with this key. */
export function getAttributeKind(key: string): AttributeKind {
  return KINDS.find((kind) => key.startsWith(`${kind}:`)) ?? 'request';
}

/** Whether different requests may have the attribute. */
export function isSharedAttribute(key: string): boolean {
  return getAttributeKind(key) !== 'request';
}

/** Orders attributes from the narrowest to the broadest. */
export function compareBreadth(a: Attribute, b: Attribute): number {
  const kinds = KINDS.indexOf(getAttributeKind(a.key)) - KINDS.indexOf(getAttributeKind(b.key));
  // A part of a prompt occurs in fewer requests than the parts before it.
  if (kinds !== 0 || a.depth !== b.depth) return kinds || b.depth - a.depth;
  return a.key < b.key ? -1 : 1;
}

function newKey(kind: AttributeKind, value: string): string {
  return `${kind}:${value}`;
}
