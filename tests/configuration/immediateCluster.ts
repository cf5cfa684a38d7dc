import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import { reduce } from '../../src/core/reduce.ts';
import { State } from '../../src/core/state.ts';
import type { ObjectAnswer, RowWrite, TableAnswer, TableCall } from '../../src/core/store.ts';
import type { Message } from '../../src/core/messages.ts';
import type { OperatorAnswer, OperatorCommand } from '../../src/operators/types.ts';

/**
 * Chooses the fault of a call to the table; undefined means none. `down`: the call fails without
 * effect. `lost`: it has no effect and no answer. `late`: it takes effect, its answer is lost.
 * `delayed`: a write without an answer that takes effect at `applyDelayedWrites`, if its conditions
 * hold then.
 */
export type TableFault = (call: TableCall) => 'down' | 'lost' | 'late' | 'delayed' | undefined;

/** Reducers of several hosts that share a table in memory; messages arrive at once and in order. */
export class ImmediateCluster {
  readonly rows = new Map<string, { value: unknown; version: string }>();
  readonly objects = new Map<string, string>();
  readonly states = new Map<string, State>();
  readonly answers = new Map<string, OperatorAnswer>();
  /** Effects with answers about drafts, for tests that pass them to a server. */
  readonly draftAnswers: Extract<Effect, { type: 'answerDraftRead' | 'answerDraftList' }>[] = [];
  readonly commands = new Map<string, OperatorCommand>();
  fault: TableFault = () => undefined;
  /** While true, calls wait for `releaseCall`, so that calls of several hosts interleave. */
  holdsTableCalls = false;
  private readonly heldCalls: { host: string; effect: Extract<Effect, { type: 'callTable' }> }[] =
    [];
  private readonly delayedWrites: RowWrite[][] = [];
  dropsMessages = false;
  now = 0;
  private version = 0;
  private commandCount = 0;

  private constructor() {}

  static create(...hosts: string[]): ImmediateCluster {
    const cluster = new ImmediateCluster();
    for (const host of hosts) cluster.addHost(host);
    return cluster;
  }

  addHost(id: string, zone = 'z'): State {
    const state = State.create({
      host: { id, zone, region: 'r', address: '127.0.0.1:1', incarnation: 1 },
      policy: {
        stallWeight: 0.5,
        loadsPerS: 1,
        maxRequestsPerCaller: 1,
        maxRequests: 1,
        lameDuckMs: 1,
      },
      randomSeed: this.states.size + 1,
    });
    const others = [...this.states.keys()];
    this.states.set(id, state);
    this.feed(id, { type: 'started' });
    for (const other of others) {
      this.feed(id, { type: 'linkOpened', host: other });
      this.feed(other, { type: 'linkOpened', host: id });
    }
    return state;
  }

  getState(id: string): State {
    const state = this.states.get(id);
    if (state === undefined) throw new Error(`no host ${id}`);
    return state;
  }

  sendCommand(host: string, command: OperatorCommand, operator = 'op'): OperatorAnswer | undefined {
    this.commandCount += 1;
    const id = `ask-${this.commandCount}`;
    this.commands.set(id, command);
    this.feed(host, { type: 'operatorCommandReceived', id, operator, command, atUnixMs: 1 });
    return this.answers.get(id);
  }

  feed(host: string, event: Event): void {
    for (const effect of reduce(this.getState(host), event, this.now)) this.run(host, effect);
  }

  /** Advances the clock in steps of 100 ms; no timer of polling or of a confirm is shorter. */
  advance(ms: number): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += 100;
      for (const host of this.states.keys()) this.feed(host, { type: 'tick' });
    }
  }

  send(from: string, to: string, message: Message): void {
    this.feed(to, { type: 'messageReceived', from, message });
  }

  private run(host: string, effect: Effect): void {
    if (effect.type === 'answerOperator') this.answers.set(effect.id, effect.answer);
    if (effect.type === 'answerDraftRead' || effect.type === 'answerDraftList') {
      this.draftAnswers.push(effect);
    }
    if (effect.type === 'sendMessage' && !this.dropsMessages) {
      this.send(host, effect.to, effect.message);
    }
    if (effect.type === 'callTable') {
      if (this.holdsTableCalls) this.heldCalls.push({ host, effect });
      else this.callTable(host, effect);
    }
    if (effect.type === 'callObjects') {
      const { purpose, call } = effect;
      if (call.type === 'put') this.objects.set(call.key, call.body);
      const body = this.objects.get(call.key);
      const answer: ObjectAnswer = body === undefined ? { type: 'missing' } : { type: 'ok', body };
      this.feed(host, { type: 'objectAnswered', purpose, answer });
    }
  }

  /** Executes one held call, selected by `pick` modulo their number. */
  releaseCall(pick: number): void {
    const [call] = this.heldCalls.splice(pick % Math.max(1, this.heldCalls.length), 1);
    if (call !== undefined) this.callTable(call.host, call.effect);
  }

  releaseAllCalls(): void {
    this.holdsTableCalls = false;
    while (this.heldCalls.length > 0) this.releaseCall(0);
  }

  applyDelayedWrites(): void {
    for (const writes of this.delayedWrites.splice(0)) this.write(writes);
  }

  private callTable(host: string, { call, purpose }: Extract<Effect, { type: 'callTable' }>): void {
    const answer = this.answerTable(call);
    this.feed(host, { type: 'tableAnswered', purpose, answer, sentAt: this.now });
  }

  private answerTable(call: TableCall): TableAnswer {
    const fault = this.fault(call);
    if (fault === 'down') return { type: 'unavailable', reason: 'down' };
    if (fault === 'lost') return { type: 'unknown', reason: 'lost' };
    if (fault === 'delayed' && call.type === 'write') {
      this.delayedWrites.push(call.writes);
      return { type: 'unknown', reason: 'delayed' };
    }
    const answer = this.getAnswer(call);
    return fault === 'late' ? { type: 'unknown', reason: 'late' } : answer;
  }

  private getAnswer(call: TableCall): TableAnswer {
    if (call.type === 'write') return this.write(call.writes);
    if (call.type === 'get') {
      const row = this.rows.get(call.key);
      return row === undefined
        ? { type: 'missing' }
        : { type: 'ok', rows: [{ key: call.key, ...row }] };
    }
    const keys = [...this.rows.keys()].filter((k) => k.startsWith(call.prefix) && k > call.after);
    const rows = keys.sort().slice(0, call.limit);
    return {
      type: 'ok',
      rows: rows.flatMap((key) => {
        const row = this.rows.get(key);
        return row === undefined ? [] : [{ key, ...row }];
      }),
    };
  }

  private write(writes: RowWrite[]): TableAnswer {
    const holds = writes.every(({ key, condition }) => {
      const version = this.rows.get(key)?.version;
      if (condition.type === 'any') return true;
      return condition.type === 'absent' ? version === undefined : version === condition.version;
    });
    if (!holds) return { type: 'conflict' };
    for (const write of writes) {
      this.version += 1;
      if (write.type === 'delete') this.rows.delete(write.key);
      // Copied through JSON, as on the wire, so that hosts share no objects.
      else {
        const value = JSON.parse(JSON.stringify(write.value)) as unknown;
        this.rows.set(write.key, { value, version: String(this.version) });
      }
    }
    return { type: 'ok', rows: [] };
  }
}
