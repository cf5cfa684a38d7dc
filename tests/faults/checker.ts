import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import type { ExecutedCall } from '../../stand-ins/recordingService.ts';
import type { CompletionRecord, DraftRecord, ServiceRecord } from '../helpers/callers.ts';
import type { Deployment } from '../helpers/deployment.ts';

/** Time after all hosts know that an endpoint leaves in which it may still receive requests (G6). */
const LEAVING_GRACE_MS = 3_000;

type Check = (deployment: Deployment) => string[];

const CHECKS: Record<string, Check> = {
  'G1 G3 mixed up': ({ callers }) => callers.completions.flatMap(findWrongAnswers),
  'G2 evicted in use': ({ platform }) =>
    platform.engines.flatMap(({ id, standIn }) =>
      standIn.records.evictions
        .filter(({ inUseBy }) => inUseBy.length > 0)
        .map(({ model, inUseBy }) => `${model} on ${id} while ${inUseBy.join(', ')} used it`),
    ),
  'G3 no answer': (deployment) =>
    [
      ...deployment.callers.completions,
      ...deployment.callers.serviceCalls,
      ...deployment.callers.drafts,
    ]
      .filter((record) => isUnanswered(deployment, record))
      .map((record) => `${describeRecord(record)}: ${record.error ?? 'connection closed'}`),
  'G3 draft lost or mixed up': ({ callers }) =>
    callers.drafts
      .filter(({ location }) => location !== undefined)
      .filter(
        ({ state, text, ...draft }) => state !== 'done' || text !== getExpectedCompletion(draft),
      )
      .map((draft) => `${describeRecord(draft)} is ${draft.state}: ${JSON.stringify(draft.text)}`),
  'G4 wrongly not run': (deployment) => [
    ...deployment.callers.completions.flatMap((record) =>
      findRunsReportedNotRun(deployment, record),
    ),
    ...getExecutedCalls(deployment).flatMap((call) => findCallsReportedNotRun(deployment, call)),
  ],
  'G5 doubled': (deployment) => {
    const counts = new Map<string, number>();
    for (const { key = '', method } of getExecutedCalls(deployment)) {
      if (method !== 'GET') counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count > 1).map(([key, n]) => `${key} ran ${n} times`);
  },
  'G6 work on a leaving endpoint': ({ platform, leavingKnownAt }) =>
    [...platform.engines, ...platform.endpoints].flatMap(({ id, standIn }) => {
      const deadline = (leavingKnownAt.get(id) ?? Infinity) + LEAVING_GRACE_MS;
      const records = 'runs' in standIn.records ? standIn.records.runs : standIn.records;
      return records
        .filter(({ arrivedAt }) => arrivedAt > deadline)
        .map(({ arrivedAt }) => `${id} got work ${Math.round(arrivedAt - deadline)} ms too late`);
    }),
  'G7 cut off by a planned stop': findUncleanStops,
  'G8 configuration went back': ({ revisions }) =>
    [...revisions].flatMap(([{ spec }, seen]) =>
      seen
        .filter((revision, index) => revision < (seen[index - 1] ?? 0))
        .map((revision) => `${spec.id} went back to ${revision}`),
    ),
};

/** Returns the violations of the guarantees that the records of callers, services and engines show. */
export function findViolations(deployment: Deployment): string[] {
  return Object.entries(CHECKS).flatMap(([name, check]) =>
    check(deployment).map((violation) => `${name}: ${violation}`),
  );
}

function findWrongAnswers(record: CompletionRecord): string[] {
  const { adapter, version, status, text, isComplete } = record;
  if (status !== 200) return [];
  const model = `${adapter}@${version}`;
  const expected = getExpectedCompletion(record);
  const reported = `${String(record.headers['x-adapter'])}@${String(record.headers['x-adapter-version'])}`;
  if (reported !== model) return [`${describeRecord(record)} came from ${reported}`];
  const isRight = isComplete ? text === expected : expected.startsWith(text);
  return isRight ? [] : [`${describeRecord(record)} got ${JSON.stringify(text)}`];
}

type AnyRecord = CompletionRecord | DraftRecord | ServiceRecord;

function getExpectedCompletion(
  record: Pick<CompletionRecord, 'adapter' | 'version' | 'prompt' | 'maxTokens'>,
): string {
  const { adapter, version, prompt, maxTokens } = record;
  const model = `${adapter}@${version}`;
  return getExpectedText({ model, prompt, max_tokens: maxTokens, priority: 0 });
}

function getRequestId(record: AnyRecord): string {
  return String(record.headers['x-request-id']);
}

function describeRecord(record: AnyRecord): string {
  const subject =
    record.type !== 'service'
      ? `${record.adapter}@${record.version} "${record.prompt}"`
      : `${record.method} ${record.key}`;
  return `${subject} through ${record.host} (${getRequestId(record)})`;
}

function findRunsReportedNotRun({ platform }: Deployment, record: CompletionRecord): string[] {
  if (record.failure?.outcome !== 'not_run') return [];
  return platform.engines.flatMap(({ id, standIn }) =>
    standIn.records.runs
      .filter(({ request }) => request.startsWith(`${getRequestId(record)}.`))
      .map(
        ({ state }) =>
          `${describeRecord(record)}: ${record.failure?.kind ?? ''}, ${state} on ${id}`,
      ),
  );
}

/** Returns the "not run" responses that an action got although it had already run. */
function findCallsReportedNotRun(
  { callers }: Deployment,
  { key, arrivedAt }: ExecutedCall,
): string[] {
  return callers.serviceCalls
    .filter((record) => record.key === key && record.failure?.outcome === 'not_run')
    .filter(({ endedAt }) => endedAt > arrivedAt)
    .map((record) => `${describeRecord(record)}: ${record.failure?.kind ?? ''}`);
}

function getExecutedCalls({ platform }: Deployment): ExecutedCall[] {
  return platform.endpoints.flatMap(({ standIn }) => standIn.records);
}

function getRun(deployment: Deployment, { address }: AnyRecord) {
  return deployment.runs.find(({ callerAddress }) => callerAddress === address);
}

/** Returns whether a request that reached a host has no response, though the host was neither killed nor paused. */
function isUnanswered(deployment: Deployment, record: AnyRecord): boolean {
  if (record.status !== undefined || record.error === 'ECONNREFUSED') return false;
  if (record.type === 'completion' && record.isCancelled) return false;
  const run = getRun(deployment, record);
  if (run?.wasPaused === true) return false;
  return run === undefined || run.isRunning || run.stopRequestedAt !== Infinity;
}

function findUncleanStops(deployment: Deployment): string[] {
  const stopped = deployment.runs.filter(({ stopRequestedAt }) => stopRequestedAt !== Infinity);
  const hasCrash = deployment.platform.engines.some(
    ({ standIn }) => standIn.records.crashes.length > 0,
  );
  return stopped.flatMap(({ spec, callerAddress, stopRequestedAt, exitCode }) => [
    ...(exitCode === 0 ? [] : [`${spec.id} ended with exit code ${exitCode ?? 'none'}`]),
    ...deployment.callers.completions
      .filter(({ address, endedAt }) => address === callerAddress && endedAt >= stopRequestedAt)
      .filter(
        ({ status, isComplete, isCancelled }) => status === 200 && !isComplete && !isCancelled,
      )
      // A crash of its engine may break a stream as well.
      .filter(() => !hasCrash)
      .map(describeRecord),
  ]);
}
