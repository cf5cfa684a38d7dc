import { describe, expect, it } from 'vitest';
import { getExpectedText } from '../../stand-ins/engine/completion.ts';
import type { Deployment } from '../helpers/deployment.ts';
import { findViolations } from './checker.ts';

const RUN = {
  spec: { id: 'h1' },
  callerAddress: 'a:1',
  isRunning: true,
  stopRequestedAt: Infinity,
};
const TEXT = getExpectedText({ model: 'a@v1', prompt: 'p', max_tokens: 4, priority: 0 });

function newCompletion(change: Record<string, unknown> = {}) {
  return {
    type: 'completion',
    host: 'h1',
    address: 'a:1',
    adapter: 'a',
    version: 'v1',
    prompt: 'p',
    maxTokens: 4,
    status: 200,
    headers: { 'x-request-id': 'r1', 'x-adapter': 'a', 'x-adapter-version': 'v1' },
    text: TEXT,
    isComplete: true,
    isCancelled: false,
    endedAt: 10,
    ...change,
  };
}

interface Records {
  completions?: unknown[];
  calls?: unknown[];
  drafts?: unknown[];
  engine?: Record<string, unknown>;
  endpoint?: unknown[];
  leaving?: [string, number][];
  runs?: unknown[];
  revisions?: [unknown, number[]][];
}

function newDeployment(records: Records): Deployment {
  const { completions = [newCompletion()], calls = [], drafts = [], runs = [RUN] } = records;
  const engine = { runs: [], evictions: [], crashes: [], ...records.engine };
  return {
    callers: { completions, serviceCalls: calls, drafts },
    runs,
    leavingKnownAt: new Map(records.leaving),
    revisions: new Map(records.revisions as [never, number[]][]),
    platform: {
      engines: [{ id: 'e1', standIn: { records: engine } }],
      endpoints: [{ id: 's1', standIn: { records: records.endpoint ?? [] } }],
    },
  } as unknown as Deployment;
}

const notRun = { status: 503, isComplete: false, failure: { kind: 'k', outcome: 'not_run' } };
const call = { method: 'POST', key: 'k1', arrivedAt: 5 };

// If the checker misses a violation, all fault cases pass in spite of it.
describe('findViolations', () => {
  it('accepts records of correct work', () => {
    expect(findViolations(newDeployment({}))).toEqual([]);
  });

  it.each<{ name: string; records: Records }>([
    { name: 'G1 G3', records: { completions: [newCompletion({ text: 'other' })] } },
    {
      name: 'G1 G3',
      records: { completions: [newCompletion({ headers: { 'x-adapter': 'b' } })] },
    },
    {
      name: 'G2',
      records: { engine: { evictions: [{ model: 'a@v1', inUseBy: ['r1.1'] }] } },
    },
    { name: 'G3 no answer', records: { completions: [newCompletion({ status: undefined })] } },
    {
      name: 'G3 draft',
      records: { drafts: [newCompletion({ type: 'draft', location: '/d', state: 'queued' })] },
    },
    {
      name: 'G4',
      records: {
        completions: [newCompletion(notRun)],
        engine: { runs: [{ request: 'r1.1', state: 'running', arrivedAt: 0 }] },
      },
    },
    {
      name: 'G4',
      records: {
        calls: [{ ...newCompletion(notRun), type: 'service', method: 'POST', key: 'k1' }],
        endpoint: [call],
      },
    },
    { name: 'G5', records: { endpoint: [call, call] } },
    {
      name: 'G6',
      records: { engine: { runs: [{ request: 'x', arrivedAt: 9_000 }] }, leaving: [['e1', 5_000]] },
    },
    {
      name: 'G6',
      records: { endpoint: [{ ...call, arrivedAt: 9_000 }], leaving: [['s1', 5_000]] },
    },
    {
      name: 'G7',
      records: {
        completions: [newCompletion({ isComplete: false, text: '' })],
        runs: [{ ...RUN, stopRequestedAt: 5, exitCode: 0 }],
      },
    },
    { name: 'G7', records: { runs: [{ ...RUN, stopRequestedAt: 50, exitCode: 1 }] } },
    { name: 'G8', records: { revisions: [[RUN, [1, 2, 1]]] } },
  ])('reports a violation of $name', ({ name, records }) => {
    const violations = findViolations(newDeployment(records));
    expect(violations).toHaveLength(1);
    expect(violations[0]).toContain(name);
  });
});
