import type { State } from '../core/state.ts';
import { Ring } from './ring.ts';

/** Returns the ring of the engines that run `model`; rebuilds the rings when the set of engines changed. */
export function getRing(state: State, model: string): Ring | undefined {
  const { routing, configuration } = state;
  if (routing.revision !== configuration.revision) {
    routing.revision = configuration.revision;
    if (hasChanged(state)) rebuild(state);
  }
  return routing.rings.get(model);
}

function hasChanged({ routing, configuration }: State): boolean {
  if (routing.members.size !== configuration.engines.size) return true;
  for (const { id, model } of configuration.engines.values()) {
    if (routing.members.get(id) !== model) return true;
  }
  return false;
}

function rebuild({ routing, configuration }: State): void {
  const byModel = new Map<string, string[]>();
  routing.members.clear();
  routing.rings.clear();
  for (const { id, model } of configuration.engines.values()) {
    routing.members.set(id, model);
    const engines = byModel.get(model);
    if (engines === undefined) byModel.set(model, [id]);
    else engines.push(id);
  }
  for (const [model, engines] of byModel) routing.rings.set(model, Ring.create(engines));
}
