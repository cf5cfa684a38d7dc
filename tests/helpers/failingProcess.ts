/** A process with an error of the kind that its argument names, which prints the metric of such errors. */
import { EventEmitter } from 'node:events';
import { Observer } from '../../src/host/observer.ts';
import { handleProcessErrors } from '../../src/host/processErrors.ts';
import { Logger } from '../../src/observe/logger.ts';

const FAILURES: Record<string, () => void> = {
  timer: () => void setTimeout(fail, 0),
  promise: () => void Promise.reject(new Error('planned')),
  emitter: () => void setImmediate(() => new EventEmitter().emit('error', new Error('planned'))),
  thrownText: () =>
    void setTimeout(() => {
      // eslint-disable-next-line @typescript-eslint/only-throw-error -- libraries may throw anything
      throw 'planned';
    }, 0),
};

function fail(): void {
  throw new Error('planned');
}

const observer = Observer.create(Logger.create({ level: 'error' }));
handleProcessErrors(observer);
FAILURES[process.argv[2] ?? '']?.();
setTimeout(() => console.log(observer.metrics.render()), 50);
