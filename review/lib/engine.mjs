import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { HOST } from './deployment.mjs';

/**
 * Stand-in of a sound engine of a plain service. It keeps what it ran, checks `Expect-Instance`, and
 * answers with the attempt and its seal. `answer` writes the answer of a request that it runs.
 */
export class Engine {
  constructor(id, record, answer) {
    this.id = id;
    this.record = record;
    this.answer = answer;
    /** Attempts that it began to run, in order. */
    this.runs = [];
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 20_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'instance-id': this.id }).end();
      return;
    }
    const attempt = request.headers['attempt-id'] ?? '';
    if ((request.headers['expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'attempt-id': attempt }).end();
      return;
    }
    if (attempt === '') {
      response.writeHead(400, { 'not-executed': '1' }).end();
      return;
    }
    this.runs.push(attempt);
    this.record.add(`engine ${this.id} runs ${attempt}: ${request.method} ${request.url}`);
    this.answer({
      attempt,
      request,
      response,
      body: Buffer.concat(chunks),
      identity: { 'attempt-id': attempt, 'response-seal': `seal-${this.id}` },
    });
  }
}
