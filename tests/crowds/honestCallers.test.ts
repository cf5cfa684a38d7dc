import { createServer, request as httpRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { GatewayDeployment, HOST } from '../gatewayHost/deployment.ts';
import { NODE_FLAGS } from '../helpers/crowdObservation.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';

/** The smallest machine of the deployments, and their limits on what callers send. */
const SETTINGS = {
  FIREFLYWICK_LOG_LEVEL: 'error',
  FIREFLYWICK_MEMORY: '210',
  FIREFLYWICK_DESCRIPTORS: '2212',
};
const LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000 };
/** The largest body of the deployments' requests. */
const USUAL_BODY_BYTES = 14_000;
/** Time within which slow callers send what they send. */
const SLOW_MS = 2_000;

interface Sending {
  headers?: Record<string, string>;
  /** Parts of the body, which are sent `pauseMs` apart. */
  parts: Buffer[];
  pauseMs?: number;
}

/** Starts a gateway in front of an endpoint that answers with the number of bytes that it got. */
async function startGateway(): Promise<string> {
  const endpoint = createServer((request, response) => {
    const attempt = request.headers['attempt-id'] ?? '';
    let bytes = 0;
    request.on('data', (chunk: Buffer) => (bytes += chunk.length));
    request.on('end', () => {
      response.writeHead(200, { 'attempt-id': attempt, 'response-seal': 's' }).end(String(bytes));
    });
  });
  await new Promise<void>((resolve) => endpoint.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(async () => {
    endpoint.closeAllConnections();
    await new Promise((resolve) => endpoint.close(resolve));
  });
  const deployment = await GatewayDeployment.create();
  deployment.configure(1, { limits: LIMITS });
  const { port } = endpoint.address() as AddressInfo;
  deployment.register('desk', 'desk1', `127.0.0.1:${port}`, { slots: 200 });
  const gateway = await GatewayProcess.start('h0', deployment.storeAddress, SETTINGS, NODE_FLAGS);
  cleanUpAfterTest(() => gateway.kill());
  await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
  return gateway.frontAddress;
}

/** Sends a request and returns its status and the number of bytes that reached the endpoint. */
async function send(address: string, { headers = {}, parts, pauseMs = 0 }: Sending) {
  const [host, port] = address.split(':');
  const request = httpRequest({
    host,
    port,
    agent: false,
    method: 'POST',
    path: '/status/1',
    headers: { host: HOST, 'attempt-id': 'a1', 'deadline-ms': '30000', ...headers },
  });
  const answered = new Promise<{ status: number; bytes: number }>((resolve, reject) => {
    request.on('error', reject);
    request.on('response', (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, bytes: Number(text) }));
    });
  });
  for (const part of parts) {
    request.write(part);
    if (pauseMs > 0) await sleep(pauseMs);
  }
  request.end();
  return answered;
}

function newParts(bytes: number, count: number): Buffer[] {
  const size = Math.ceil(bytes / count);
  return Array.from({ length: count }, (_, index) =>
    Buffer.alloc(Math.max(0, Math.min(size, bytes - index * size)), 'x'),
  );
}

const LARGEST = { 'content-length': String(LIMITS.bodyBytes) };
const USUAL = { 'content-length': String(USUAL_BODY_BYTES) };

// Guards against limits on callers that misbehave which refuse one that does not.
describe('a gateway on the smallest machine serves', () => {
  it.each<[string, Sending, number, number]>([
    ['the largest body', { headers: LARGEST, parts: newParts(LIMITS.bodyBytes, 1) }, 1, 4_194_304],
    ['the largest body in chunks', { parts: newParts(LIMITS.bodyBytes, 64) }, 1, 4_194_304],
    ['the largest head', { headers: { padding: 'x'.repeat(16_000) }, parts: [] }, 1, 0],
    [
      '100 usual bodies at once',
      { headers: USUAL, parts: newParts(USUAL_BODY_BYTES, 1) },
      100,
      14_000,
    ],
    [
      '100 slow bodies at once',
      { headers: USUAL, parts: newParts(USUAL_BODY_BYTES, 20), pauseMs: SLOW_MS / 20 },
      100,
      14_000,
    ],
    [
      '100 slow bodies in chunks at once',
      { parts: newParts(USUAL_BODY_BYTES, 20), pauseMs: SLOW_MS / 20 },
      100,
      14_000,
    ],
  ])('%s', async (_name, sending, callers, bytes) => {
    const address = await startGateway();
    const answers = await Promise.all(
      Array.from({ length: callers }, () => send(address, sending)),
    );
    expect(answers).toEqual(answers.map(() => ({ status: 200, bytes })));
  });
});
