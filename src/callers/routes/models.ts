import { sendJson } from '../../http/reply.ts';
import type { Route } from '../types.ts';

/** `GET /v1/models`: all versions of the adapters of the caller's firm. */
export const models: Route = {
  method: 'GET',
  path: '/v1/models',
  handle: ({ host, key, response }) => {
    const data = [];
    for (const adapter of host.state.configuration.adapters.values()) {
      if (adapter.firm !== key.firm) continue;
      for (const version of Object.keys(adapter.versions)) {
        data.push({
          id: `${adapter.name}@${version}`,
          object: 'model',
          created: 0,
          owned_by: adapter.firm,
          parent: adapter.model,
          in_force: version === adapter.inForce,
        });
      }
    }
    sendJson(response, 200, { object: 'list', data });
  },
};
