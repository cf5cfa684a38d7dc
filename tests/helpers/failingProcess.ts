/** A process with an error of the kind that its argument names, which prints the metric of such errors. */
import { EventEmitter } from 'node:events';
import { Observer } from '../../src/host/observer.ts';
import { handleProcessErrors } from '../../src/host/processErrors.ts';
import { startServer } from '../../src/http/httpServer.ts';
import { Logger } from '../../src/observe/logger.ts';

const FAILURES: Record<string, () => void> = {
  timer: () => void setTimeout(fail, 0),
  promise: () => void Promise.reject(new Error('planned')),
  emitter: () => void setImmediate(() => new EventEmitter().emit('error', new Error('planned'))),
  request: () => void callFailingServer(),
  thrownText: () =>
    void setTimeout(() => {
      // eslint-disable-next-line @typescript-eslint/only-throw-error -- libraries may throw anything
      throw 'planned';
    }, 0),
};

/** Handles a request with `fail`, and prints the status that its caller gets. */
async function callFailingServer(): Promise<void> {
  const address = { host: '127.0.0.1', port: 0 };
  const server = await startServer(fail, address, { headerBytes: 8_192, slowSenderMs: 1_000 });
  const { status } = await fetch(`http://127.0.0.1:${server.port}/`);
  console.log(`answered ${status}`);
  await server.stop();
}

function fail(): void {
  throw new Error('planned');
}

const observer = Observer.create(Logger.create({ level: 'error' }));
handleProcessErrors(observer);
FAILURES[process.argv[2] ?? '']?.();
setTimeout(() => console.log(observer.metrics.render()), 300);
