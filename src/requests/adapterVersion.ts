import type { State } from '../core/state.ts';
import { Failure } from '../errors/failure.ts';
import type { NewRequest } from './types.ts';

/** Returns the requested version, by default the one in force; a failure if it does not exist. */
export function resolveVersion(
  state: State,
  { adapter: name, version: requestedVersion }: Pick<NewRequest, 'adapter' | 'version'>,
): string | Failure {
  const adapter = state.configuration.adapters.get(name);
  if (adapter === undefined) {
    return Failure.create('unknown_adapter', `adapter "${name}" does not exist`, {
      param: 'model',
    });
  }
  const version = requestedVersion ?? adapter.inForce;
  if (adapter.versions[version] === undefined) {
    return Failure.create('unknown_version', `adapter "${name}" has no version "${version}"`, {
      param: 'model',
    });
  }
  return version;
}
