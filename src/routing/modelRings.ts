import type { State } from '../core/state.ts';
import { HashRing } from './hashRing.ts';

/** Returns the hash ring of the engines that run `model` in the configuration in force. */
export function getRing(state: State, model: string): HashRing | undefined {
  const { routing, configuration } = state;
  if (routing.revision !== configuration.revision) {
    routing.revision = configuration.revision;
    if (routing.rings.size === 0) buildRings(state);
    else updateRings(state);
  }
  return routing.rings.get(model);
}

function buildRings({ routing, configuration }: State): void {
  const byModel = new Map<string, string[]>();
  for (const { id, model } of configuration.engines.values()) {
    routing.engineModels.set(id, model);
    const engines = byModel.get(model);
    if (engines === undefined) byModel.set(model, [id]);
    else engines.push(id);
  }
  for (const [model, engines] of byModel) routing.rings.set(model, HashRing.create(engines));
}

function updateRings({ routing, configuration }: State): void {
  for (const [id, model] of routing.engineModels) {
    if (configuration.engines.get(id)?.model === model) continue;
    routing.engineModels.delete(id);
    const ring = routing.rings.get(model);
    ring?.remove(id);
    if (ring?.isEmpty === true) routing.rings.delete(model);
  }
  for (const { id, model } of configuration.engines.values()) {
    if (routing.engineModels.has(id)) continue;
    routing.engineModels.set(id, model);
    const ring = routing.rings.get(model);
    if (ring === undefined) routing.rings.set(model, HashRing.create([id]));
    else ring.add(id);
  }
}
