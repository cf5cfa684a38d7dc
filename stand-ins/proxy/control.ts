import { createServer, type Server } from 'node:http';
import { parseJson, readCall, type Reply, type Call, send } from '../server.ts';
import { type Proxy, ProxyFaults } from './proxy.ts';

async function handle(proxy: Proxy, call: Call): Promise<Reply> {
  if (call.method !== 'POST') return { status: 405 };
  if (call.path === '/silence') {
    proxy.silence();
    return { status: 200 };
  }
  if (call.path !== '/faults') return { status: 404 };
  const change = parseJson(call);
  const parsed = ProxyFaults.safeParse({ ...proxy.faults, ...(change as object) });
  if (!parsed.success) return { status: 400 };
  await proxy.setFaults(parsed.data);
  return { status: 200, body: proxy.faults };
}

/** Server of `POST /faults`, which changes the named switches, and `POST /silence`. */
export function newControlServer(proxy: Proxy): Server {
  return createServer((request, response) => {
    readCall(request, response)
      .then(async (call) => send(response, await handle(proxy, call)))
      .catch(() => response.destroy());
  });
}
