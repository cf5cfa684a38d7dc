import { createServer } from 'node:http';
import { describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/clients/httpClient.ts';
import { closeServer, listen } from '../../stand-ins/server.ts';
import { cleanUpAfterTest, runCompletion, startEngineStandIn } from '../support.ts';

/** Most bytes that a server may have sent, including what sockets buffer. */
const MAX_BYTES = 64 * 1024 * 1024;

/** Starts a server that answers each call with a body without end. */
async function startEndlessServer(): Promise<{ address: string; sent: { bytes: number } }> {
  const sent = { bytes: 0 };
  const server = createServer((_request, response) => {
    response.on('error', () => undefined);
    response.writeHead(200);
    const send = (): void => {
      while (!response.destroyed) {
        sent.bytes += 16_384;
        if (!response.write('x'.repeat(16_384))) return;
      }
    };
    response.on('drain', send);
    send();
  });
  const address = await listen(server, '127.0.0.1', 0);
  cleanUpAfterTest(() => closeServer(server));
  return { address, sent };
}

// Guards against clients that read on until the memory is full.
describe('a response without end', () => {
  it('is a lost answer to a call', async () => {
    const { address, sent } = await startEndlessServer();
    const client = HttpClient.create();
    cleanUpAfterTest(() => client.close());
    const answer = await client.call({ address, method: 'GET', path: '/', timeoutMs: 20_000 });
    expect(answer.type === 'lost' ? answer.reason : answer.type).toContain('larger than');
    expect(sent.bytes).toBeLessThan(MAX_BYTES);
  });

  it.each([{ stream: true }, { stream: false }])(
    'breaks a completion (stream: $stream)',
    async ({ stream }) => {
      const { address, sent } = await startEndlessServer();
      const { client } = await startEngineStandIn();
      const { ended } = runCompletion(client, address, { stream });
      expect((await ended).type).toBe('broken');
      expect(sent.bytes).toBeLessThan(MAX_BYTES);
    },
  );
});
