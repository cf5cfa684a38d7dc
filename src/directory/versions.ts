/** Versions that a directory can give out before its next restore; 2 ** 11 restores stay safe integers. */
const VERSIONS_PER_RESTORE = 2 ** 42;

/**
 * Returns the version as the product uses it. A directory that came back from an older copy gives out
 * versions again; with its number of restores, later versions are always higher.
 */
export function newDirectoryVersion(restores: number, version: number): number {
  return restores * VERSIONS_PER_RESTORE + version;
}

/** Returns the number of restores and the version as the directory gave it out. */
export function splitDirectoryVersion(version: number): { restores: number; version: number } {
  const restores = Math.floor(version / VERSIONS_PER_RESTORE);
  return { restores, version: version % VERSIONS_PER_RESTORE };
}
