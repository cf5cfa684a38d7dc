import type { Eviction } from '../http/callerMemory.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { Observer } from './observer.ts';

/** Records that a caller gave way for lack of memory or descriptors. */
export function observeEviction(observer: Observer, { resource, bytes }: Eviction): void {
  observer.observe(newCount('fireflywick_evictions_total', { resource }));
  observer.observe(newLog('info', 'caller gave way', { resource, bytes }));
}
