import { createServer, type Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { cleanUpAfterTest } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

/** Starts an endpoint of which `answer` writes the answers, by the connection and the id of the attempt. */
async function startEndpoint(answer: (socket: Socket, attempt: string) => void): Promise<string> {
  const server = createServer((socket) => {
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const attempt = /attempt-id: ([^\r]*)/i.exec(received)?.[1] ?? '';
      received = '';
      answer(socket, attempt);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUpAfterTest(() => new Promise((resolve) => server.close(() => resolve())));
  const address = server.address();
  return typeof address === 'object' ? `127.0.0.1:${address?.port ?? 0}` : '';
}

function newRefusal(attempt: string | undefined): string {
  const echo = attempt === undefined ? '' : `attempt-id: ${attempt}\r\n`;
  return `HTTP/1.1 503 Full\r\n${echo}not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

function newSuccess(attempt: string): string {
  return `HTTP/1.1 200 OK\r\nattempt-id: ${attempt}\r\nresponse-seal: s\r\ncontent-length: 4\r\n\r\ndone`;
}

async function start(answer: (socket: Socket, attempt: string) => void) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  deployment.register('desk', 'e1', await startEndpoint(answer));
  await deployment.addHost();
  await deployment.waitReady(1);
  return deployment;
}

// Guards against requests that are said not to have run although an endpoint runs them.
describe('a refusal that an endpoint sends once more', () => {
  it('of the same request, is not taken for the answer to its next attempt', async () => {
    const refusedOn = new Map<string, Socket>();
    let executed = 0;
    const deployment = await start((socket, attempt) => {
      const earlier = refusedOn.get(attempt);
      if (earlier === undefined) {
        refusedOn.set(attempt, socket);
        socket.write(newRefusal(attempt));
        return;
      }
      executed += 1;
      if (earlier === socket) socket.write(newRefusal(attempt));
      socket.write(newSuccess(attempt));
    });
    const { status, body } = await deployment.send({ path: '/booking/1', body: '{}' });
    expect([status, body]).toEqual([200, 'done']);
    expect(executed).toBe(1);
  });

  it.each<[string, (attempt: string) => string | undefined]>([
    ['of another request', (attempt) => `${attempt}x`],
    ['that names no request', () => undefined],
  ])('%s, does not say that the request did not run', async (_name, getEcho) => {
    let executed = 0;
    const deployment = await start((socket, attempt) => {
      executed += 1;
      socket.write(newRefusal(getEcho(attempt)));
      socket.write(newSuccess(attempt));
    });
    const { status } = await deployment.send({ path: '/booking/1', body: '{}' });
    expect(status).toBe(502);
    expect(executed).toBe(1);
  });
});
