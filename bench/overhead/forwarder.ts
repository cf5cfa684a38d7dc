// Bare forwarder that the entry host is compared with: the same router and HTTP client, but without
// routing decisions. Usage: forwarder.ts TARGET, where TARGET is the `host:port` of the engine.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pipeline } from 'node:stream/promises';
import createRouter from 'find-my-way';
import { Agent } from 'undici';

const origin = `http://${process.argv[2] ?? ''}`;
const agent = new Agent({ connections: 64, pipelining: 1 });

async function forward(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const answer = await agent.request({
    origin,
    path: request.url ?? '/',
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: Buffer.concat(chunks),
  });
  const type = answer.headers['content-type'];
  response.writeHead(answer.statusCode, { 'content-type': String(type) });
  await pipeline(answer.body, response);
}

const router = createRouter();
router.on('POST', '/v1/completions', (request, response) => {
  forward(request, response).catch(() => response.destroy());
});

const server = createServer((request, response) => void router.lookup(request, response));
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));
});
