import { HolderList } from './holderList.ts';
import { type EngineReport, EngineView, type Engines } from './types.ts';

/** Returns the view of `engine`; creates an empty one if there is none. */
export function getOrCreateEngineView(engines: Engines, engine: string): EngineView {
  const known = engines.views.get(engine);
  if (known !== undefined) return known;
  const view = EngineView.create(engine);
  engines.views.set(engine, view);
  return view;
}

/** Records that `model`, an `adapter@version`, is resident on `engine`. */
export function addResident(engines: Engines, engine: string, model: string): void {
  getOrCreateEngineView(engines, engine).residents.add(model);
  const holders = engines.holders.get(model) ?? HolderList.create();
  holders.add(engine);
  engines.holders.set(model, holders);
}

/** Records that `model`, an `adapter@version`, is no longer resident on `engine`. */
export function removeResident(engines: Engines, engine: string, model: string): void {
  getOrCreateEngineView(engines, engine).residents.delete(model);
  const holders = engines.holders.get(model);
  holders?.delete(engine);
  if (holders?.size === 0) engines.holders.delete(model);
}

/**
 * Adds `by` to the requests that this host sent to `engine` since its last report; negative when
 * they end.
 */
export function adjustSentSinceReport(engines: Engines, engine: string, by: number): void {
  const view = getOrCreateEngineView(engines, engine);
  view.sentSinceReport = Math.max(0, view.sentSinceReport + by);
}

/** Sets the load of an engine that this host owns and therefore knows exactly. */
export function updateLoad(
  engines: Engines,
  engine: string,
  running: number,
  waiting: number,
): void {
  const view = getOrCreateEngineView(engines, engine);
  view.running = running;
  view.waiting = waiting;
  view.sentSinceReport = 0;
}

/** Returns the number of requests that run or wait at `engine`, as far as this host knows. */
export function getLoad(engines: Engines, engine: string): number {
  const view = engines.views.get(engine);
  return view === undefined ? 0 : view.running + view.waiting + view.sentSinceReport;
}

/** Whether the load of `engine` was reported at most `maxAgeMs` ago. */
export function isLoadRecent(
  engines: Engines,
  engine: string,
  maxAgeMs: number,
  now: number,
): boolean {
  return (engines.views.get(engine)?.reportedAt ?? -Infinity) + maxAgeMs >= now;
}

/** Updates the view of `engine` from a load report, which replaces the resident adapters. */
export function updateViewFromReport(
  engines: Engines,
  engine: string,
  report: EngineReport,
  now: number,
): void {
  const view = getOrCreateEngineView(engines, engine);
  const reported = new Set(report.residents);
  for (const model of [...view.residents]) {
    if (!reported.has(model)) removeResident(engines, engine, model);
  }
  for (const model of reported) addResident(engines, engine, model);
  if (view.bootId !== report.bootId) view.pause = undefined;
  view.bootId = report.bootId;
  view.reportedAt = now;
  view.running = Object.values(report.running).reduce((sum, count) => sum + count, 0);
  view.waiting = report.waiting;
  view.sentSinceReport = 0;
  if (view.state !== 'leaving') view.state = 'live';
}
