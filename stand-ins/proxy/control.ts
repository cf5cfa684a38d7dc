import { createServer, type Server } from 'node:http';
import { parseJson, readCall, type Reply, type ReceivedCall, sendReply } from '../server.ts';
import { type FaultProxy, ProxyFaults } from './faultProxy.ts';

async function handle(proxy: FaultProxy, call: ReceivedCall): Promise<Reply> {
  if (call.method !== 'POST') return { status: 405 };
  if (call.path === '/silence') {
    proxy.silenceConnections();
    return { status: 200 };
  }
  if (call.path !== '/faults') return { status: 404 };
  const change = parseJson(call);
  const parsed = ProxyFaults.safeParse({ ...proxy.faults, ...(change as object) });
  if (!parsed.success) return { status: 400 };
  await proxy.setFaults(parsed.data);
  return { status: 200, body: proxy.faults };
}

/** Creates the server of `POST /faults`, which updates the given fault settings, and `POST /silence`. */
export function newControlServer(proxy: FaultProxy): Server {
  return createServer((request, response) => {
    readCall(request, response)
      .then(async (call) => sendReply(response, await handle(proxy, call)))
      .catch(() => response.destroy());
  });
}
