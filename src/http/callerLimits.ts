import {
  BYTES_PER_CONNECTION,
  CALLER_DESCRIPTOR_SHARE,
  FILE_DESCRIPTORS,
  HELD_MEMORY_SHARE,
  MAX_HELD_BYTES,
  MIN_CALLER_CONNECTIONS,
  MIN_HELD_BYTES,
  REST_MEMORY_MB,
} from './constants.ts';

const BYTES_PER_MB = 1_024 * 1_024;

/** Memory in MB and descriptors of the machine; undefined stands for one that does not limit them. */
export interface MachineLimits {
  memoryMb?: number | undefined;
  descriptors?: number | undefined;
}

/**
 * Returns the bytes that all requests and responses of a host may hold together on a machine with `memoryMb`;
 * undefined stands for a machine that does not limit them.
 */
export function getHeldBytes(memoryMb: number | undefined): number {
  if (memoryMb === undefined) return MAX_HELD_BYTES;
  const bytes = (memoryMb - REST_MEMORY_MB) * HELD_MEMORY_SHARE * BYTES_PER_MB;
  return Math.min(MAX_HELD_BYTES, Math.max(MIN_HELD_BYTES, bytes));
}

/** Returns the most connections that callers may keep open. */
export function getMaxCallerConnections(
  memoryMb: number | undefined,
  descriptors: number | undefined,
): number {
  const byMemory = Math.floor(getHeldBytes(memoryMb) / BYTES_PER_CONNECTION);
  const byDescriptors =
    descriptors === undefined
      ? Infinity
      : Math.floor((descriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE);
  return Math.max(MIN_CALLER_CONNECTIONS, Math.min(byMemory, byDescriptors));
}
