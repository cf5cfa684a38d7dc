import type { ArrivalResult } from '../http/arrivalQueue.ts';
import { newCount, newObserve } from '../core/observations.ts';
import type { Observer } from './observer.ts';

/** Records what became of a request that waited for its turn. */
export function observeArrival(observer: Observer, { result, waitedMs }: ArrivalResult): void {
  observer.observe(newCount('fireflywick_arrivals_total', { result }));
  observer.observe(newObserve('fireflywick_arrival_wait_ms', {}, waitedMs));
}
