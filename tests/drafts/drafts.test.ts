import { describe, expect, it } from 'vitest';
import type { Effect } from '../../src/core/effects.ts';
import { MAX_ACTIVE_DRAFTS, MAX_FAILED_ATTEMPTS } from '../../src/drafts/constants.ts';
import { getDraftKey } from '../../src/drafts/draftRows.ts';
import { DraftRow, type NewDraft } from '../../src/drafts/types.ts';
import type { AttemptOutcome } from '../../src/requests/types.ts';
import { answerOrder, newCompletedOutcome, newEngineChanges } from '../helpers/engines.ts';
import { StepSimulation } from '../helpers/stepSimulation.ts';

function newDraft(id: string, parts: Partial<NewDraft> = {}): NewDraft {
  return {
    id,
    firm: 'f',
    caller: 'c',
    path: '/v1/completions',
    adapter: 'a',
    version: undefined,
    bodyHash: id,
    maxTokens: 8,
    body: `body of ${id}`,
    ...parts,
  };
}

/**
 * Hosts whose engines end each attempt with `getOutcome`; an attempt without outcome keeps running.
 */
function newSimulation(getOutcome: (model: string) => AttemptOutcome | undefined, hosts = ['h1']) {
  const seen: Effect[] = [];
  const prepared = new Map<string, string>();
  const simulation = StepSimulation.create({
    seed: 1,
    hosts,
    changes: newEngineChanges(2),
    onEffect: (sim, host, effect) => {
      seen.push(effect);
      answerOrder(sim, host, effect);
      if (effect.type === 'prepareDraftRequest') prepared.set(effect.id, effect.draft);
      if (effect.type === 'finishRequest') {
        const draft = prepared.get(effect.id) ?? '';
        sim.dispatchLater(host, () => ({ type: 'draftResultCollected', draft, body: 'result' }));
      }
      if (effect.type !== 'startAttempt') return;
      const { id, attempt, model } = effect.spec;
      const outcome = getOutcome(model);
      if (outcome === undefined) return;
      sim.dispatchLater(host, () => ({ type: 'attemptEnded', id, attempt, outcome }));
    },
  });
  const getRow = (id: string) =>
    DraftRow.safeParse(simulation.table.rows.get(getDraftKey(id))?.value).data;
  const getAnswer = <T extends Effect['type']>(type: T) =>
    seen.findLast((effect): effect is Extract<Effect, { type: T }> => effect.type === type);
  return { simulation, seen, getRow, getAnswer };
}

const broken: AttemptOutcome = { type: 'broken', reason: 'reset' };

describe('a draft', () => {
  it.each([
    { name: 'for an unknown adapter', parts: { adapter: 'none' }, kind: 'unknown_adapter' },
    { name: 'for an unknown version', parts: { version: 'v9' }, kind: 'unknown_version' },
  ])('$name is refused with the outcome not_run', ({ parts, kind }) => {
    const { simulation, getAnswer } = newSimulation(newCompletedOutcome);
    const draft = newDraft('d', parts);
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft });
    expect(getAnswer('answerDraft')?.answer).toMatchObject({
      failure: { kind, outcome: 'not_run' },
    });
  });

  it('is acknowledged together with the other drafts of its batch by one write', () => {
    const { simulation, seen } = newSimulation(() => undefined);
    const host = simulation.getHost('h1');
    for (let i = 0; i < 60; i++) {
      simulation.dispatch(host, { type: 'draftArrived', draft: newDraft(`d${i}`) });
    }
    const getAccepted = () => seen.filter(({ type }) => type === 'answerDraft').length;
    simulation.runUntil(() => getAccepted() >= 50);
    expect(getAccepted()).toBe(50);
    simulation.runUntil(() => getAccepted() === 60);
  });

  it('waits in the table while the host runs its maximum of drafts', () => {
    const { simulation, seen } = newSimulation(() => undefined);
    const host = simulation.getHost('h1');
    for (let i = 0; i < 2 * MAX_ACTIVE_DRAFTS; i++) {
      simulation.dispatch(host, { type: 'draftArrived', draft: newDraft(`d${i}`) });
    }
    simulation.runUntil(() => simulation.now > 5_000);
    const prepared = seen.filter(({ type }) => type === 'prepareDraftRequest');
    expect(prepared).toHaveLength(MAX_ACTIVE_DRAFTS);
  });

  it('does not count towards the request limit of its caller', () => {
    const { simulation } = newSimulation(() => undefined);
    const host = simulation.getHost('h1');
    simulation.dispatch(host, { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => host.state.requests.inFlight.size === 1);
    expect(host.state.requests.countByCaller.size).toBe(0);
  });

  it('becomes poison after its failed attempts, is listed for operators, and is queued again by a retry', () => {
    let outcome: AttemptOutcome | undefined = broken;
    const { simulation, getRow, getAnswer } = newSimulation(
      (model) => outcome ?? newCompletedOutcome(model),
    );
    const host = simulation.getHost('h1');
    simulation.dispatch(host, { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => getRow('d')?.state === 'poison', 100_000);
    expect(getRow('d')).toMatchObject({ attempts: MAX_FAILED_ATTEMPTS });

    simulation.dispatch(host, { type: 'draftListRequested', id: 'q1', state: 'poison', after: '' });
    simulation.runUntil(() => getAnswer('answerDraftList') !== undefined);
    expect(getAnswer('answerDraftList')?.answer).toMatchObject({
      drafts: [{ id: 'd', state: 'poison' }],
    });

    outcome = undefined;
    const command = { id: 'q2', draft: 'd', firm: undefined, caller: 'operator' };
    simulation.dispatch(host, { type: 'draftRetryRequested', ...command });
    simulation.runUntil(() => getRow('d')?.state === 'done');
    expect([...simulation.table.rows.keys()]).not.toContain('draft-state/poison/d');
  });

  it('does not become poison while no engine can run it', () => {
    let outcome: AttemptOutcome | undefined = { type: 'unreachable' };
    const { simulation, getRow } = newSimulation((model) => outcome ?? newCompletedOutcome(model));
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => simulation.now > 600_000, 100_000);
    expect(getRow('d')).toMatchObject({ state: 'queued', attempts: 0 });
    outcome = undefined;
    simulation.runUntil(() => getRow('d')?.state === 'done');
  });

  it('fails at once if the engine rejects the request as invalid', () => {
    const refused: AttemptOutcome = { type: 'refused', status: 400, message: 'too long' };
    const { simulation, getRow } = newSimulation(() => refused);
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => getRow('d')?.state === 'failed');
    expect(getRow('d')?.failure?.kind).toBe('bad_request');
  });

  it('of a host that is gone is found by the sweep if no other host took it over', () => {
    const { simulation, getRow } = newSimulation(newCompletedOutcome, ['h1', 'h2']);
    const draft = newDraft('d');
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft });
    simulation.runUntil(() => getRow('d') !== undefined);
    simulation.stopHost('h1');
    simulation.runUntil(() => getRow('d')?.state === 'done');
    expect(getRow('d')).toMatchObject({ host: 'h2', fence: 2 });
  });

  it.each([
    { name: 'that has no link', zone: 'z', within: 6_000 },
    { name: 'of a zone that is gone', zone: 'y', within: 13_000 },
  ])('of a host $name is taken over within seconds', ({ zone, within }) => {
    const { simulation, getRow } = newSimulation(newCompletedOutcome, ['h1', 'h2', 'h3']);
    simulation.runUntil(() => simulation.now >= 1_000);
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => getRow('d') !== undefined);
    const entry = simulation.getHost('h2').state.membership.hosts.get('h1');
    if (entry === undefined) throw new Error('host h1 is not known');
    const diedAt = simulation.now;
    simulation.stopHost('h1');
    for (const { state } of simulation.getHosts()) {
      state.membership.hosts.set('h1', { ...entry, zone });
      state.membership.unlinkedSince.set('h1', diedAt);
    }
    simulation.runUntil(() => getRow('d')?.state === 'done');
    expect(simulation.now - diedAt).toBeLessThan(within);
  });

  it.each([
    { name: 'its own firm', firm: 'f', expected: { type: 'found', result: 'result' } },
    { name: 'an operator', firm: undefined, expected: { type: 'found', result: 'result' } },
    { name: 'the other firm', firm: 'g', expected: { failure: { kind: 'not_found' } } },
  ])('answers $name', ({ firm, expected }) => {
    const { simulation, getRow, getAnswer } = newSimulation(newCompletedOutcome, ['h1', 'h2']);
    simulation.dispatch(simulation.getHost('h1'), { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => getRow('d')?.state === 'done');
    const command = { id: 'q', draft: 'd', firm, caller: 'c' };
    simulation.dispatch(simulation.getHost('h2'), { type: 'draftReadRequested', ...command });
    simulation.runUntil(() => getAnswer('answerDraftRead') !== undefined);
    expect(getAnswer('answerDraftRead')?.answer).toMatchObject(expected);
    simulation.dispatch(simulation.getHost('h2'), { type: 'draftDeleteRequested', ...command });
    simulation.runUntil(() => getAnswer('answerDraftRead')?.answer.type !== 'found');
    expect(getRow('d') === undefined).toBe(firm !== 'g');
  });

  // Guards against drafts that wait for the next sweep, a minute later, when a host restarts in an outage.
  it('runs soon after the table is back when its host restarted while that was unavailable', () => {
    let canRun = false;
    const { simulation, getRow } = newSimulation((model) =>
      canRun ? newCompletedOutcome(model) : undefined,
    );
    const host = simulation.getHost('h1');
    simulation.dispatch(host, { type: 'draftArrived', draft: newDraft('d') });
    simulation.runUntil(() => getRow('d')?.state === 'queued');
    canRun = true;
    simulation.faultRate = 1;
    simulation.startHost('h1');
    const restartedAt = simulation.now;
    while (simulation.now < restartedAt + 10_000) simulation.runStep();
    simulation.faultRate = 0;
    const healedAt = simulation.now;
    simulation.runUntil(() => getRow('d')?.state === 'done');
    expect(simulation.now - healedAt).toBeLessThan(6_000);
  });
});
