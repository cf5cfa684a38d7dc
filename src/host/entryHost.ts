import type { Exchange } from '../callers/exchange.ts';
import { CallerServer } from '../callers/server.ts';
import { EngineClient } from '../clients/engineClient.ts';
import { ObjectClient } from '../clients/objectClient.ts';
import { TableClient } from '../clients/tableClient.ts';
import type { Event } from '../core/events.ts';
import type { Message } from '../core/messages.ts';
import { type HostIdentity, type Policy, State } from '../core/state.ts';
import type { Key } from '../http/keys.ts';
import type { ListenAddress } from '../http/listen.ts';
import type { HostContext, RunningAttempt } from './context.ts';
import { Loop } from './loop.ts';
import type { Observer } from './observer.ts';
import { runEffect } from './runners/index.ts';

export interface EntryHostOptions {
  identity: HostIdentity;
  policy: Policy;
  seed: number;
  keys: readonly Key[];
  callers: ListenAddress;
  tableUrl: string;
  objectsUrl: string;
  observer: Observer;
}

/** One entry host: the loop, its clients and its servers. */
export class EntryHost implements HostContext {
  readonly exchanges = new Map<string, Exchange>();
  readonly attempts = new Map<string, RunningAttempt>();
  private readonly loop: Loop;
  private readonly callerServer: CallerServer;
  private readonly stopping: Promise<void>;
  private resolveStopped: () => void = () => undefined;

  private constructor(
    readonly state: State,
    readonly keys: readonly Key[],
    readonly observer: Observer,
    readonly table: TableClient,
    readonly objects: ObjectClient,
    readonly engines: EngineClient,
    callers: ListenAddress,
  ) {
    this.loop = Loop.create(state, (effect) => runEffect(this, effect));
    this.callerServer = CallerServer.create(this, callers);
    this.stopping = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
  }

  static create(options: EntryHostOptions): EntryHost {
    const { identity, policy, seed } = options;
    return new EntryHost(
      State.create({ host: identity, policy, seed }),
      options.keys,
      options.observer,
      TableClient.create({ address: options.tableUrl }),
      ObjectClient.create({ address: options.objectsUrl }),
      EngineClient.create(),
      options.callers,
    );
  }

  /** Starts the servers and the loop; returns the callers' port. */
  async start(): Promise<{ callerPort: number }> {
    const callerPort = await this.callerServer.start();
    this.dispatch({ type: 'started' });
    return { callerPort };
  }

  /** Stops gracefully: takes no new work and resolves when nothing is in flight. */
  async stop(): Promise<void> {
    this.dispatch({ type: 'stopRequested' });
    await this.stopping;
    await this.callerServer.stop();
    this.loop.stop();
  }

  dispatch(event: Event): void {
    this.loop.dispatch(event);
  }

  addExchange(id: string, exchange: Exchange): void {
    this.exchanges.set(id, exchange);
  }

  send(to: string, message: Message): void {
    if (to === this.state.host.id) this.dispatch({ type: 'messageReceived', from: to, message });
  }

  onStopped(): void {
    this.resolveStopped();
  }
}
