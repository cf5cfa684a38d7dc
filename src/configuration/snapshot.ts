import { z } from 'zod';
import { applyChange } from './apply.ts';
import { Change, Configuration } from './types.ts';

/** A whole configuration, as the changes that build it from an empty one. */
export const Snapshot = z.strictObject({
  revision: z.int().min(1),
  changes: z.array(Change),
});
export type Snapshot = z.infer<typeof Snapshot>;

/** Returns the configuration as a snapshot. */
export function getSnapshot(c: Configuration): Snapshot {
  return {
    revision: c.revision,
    changes: [
      ...[...c.adapters.values()].map((adapter): Change => ({ type: 'putAdapter', adapter })),
      ...[...c.engines.values()].map((engine): Change => ({ type: 'putEngine', engine })),
      ...[...c.services.values()].map((service): Change => ({ type: 'putService', service })),
      ...[...c.warmIntents.values()].map((warm): Change => ({ type: 'putWarm', warm })),
      ...[...c.callerPriorities].map(([caller, priority]): Change => ({
        type: 'putCallerOrder',
        caller,
        priority,
      })),
      ...[...c.shares].map(([firm, share]): Change => ({ type: 'putShare', firm, share })),
      ...[...c.leavingEndpoints].map((endpoint): Change => ({ type: 'putLeaving', endpoint })),
      ...[...c.engineRoles].map(([engine, role]): Change => ({ type: 'putRole', engine, role })),
    ],
  };
}

/**
 * Replaces the configuration by a newer snapshot. Returns false and changes nothing if the snapshot
 * is not newer, so that a configuration never goes back.
 */
export function applySnapshot(c: Configuration, { revision, changes }: Snapshot): boolean {
  if (revision <= c.revision) return false;
  const parts = [
    c.adapters,
    c.engines,
    c.services,
    c.warmIntents,
    c.callerPriorities,
    c.shares,
    c.leavingEndpoints,
  ];
  for (const part of [...parts, c.engineRoles]) part.clear();
  for (const change of changes) applyChange(c, change);
  c.revision = revision;
  return true;
}

/** Returns a copy. The entries are shared, because changes replace them and never modify them. */
export function copyConfiguration(configuration: Configuration): Configuration {
  const copy = Configuration.create();
  applySnapshot(copy, { ...getSnapshot(configuration), revision: configuration.revision });
  return copy;
}
