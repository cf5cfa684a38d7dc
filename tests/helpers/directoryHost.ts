import type { Effect } from '../../src/core/effects.ts';
import type { Event } from '../../src/core/events.ts';
import type { Message } from '../../src/core/messages.ts';
import { reduce } from '../../src/core/reduce.ts';
import { type DirectoryPolicy, State } from '../../src/core/state.ts';
import type {
  DirectoryChange,
  DirectoryContent,
  HostRow,
  Topic,
} from '../../src/directory/types.ts';
import type { Endpoint } from '../../src/fleet/types.ts';
import type { RequestLabels, NewForward } from '../../src/forwards/types.ts';
import type { Member, MembersRow } from '../../src/owners/types.ts';
import type { Route, RoutingTable, Tenant } from '../../src/routes/types.ts';

/** Effects of one type. */
export type EffectOf<T extends Effect['type']> = Extract<Effect, { type: T }>;

/** Content of a row of one type that hosts write. */
type RowOf<T extends HostRow['type']> = Extract<HostRow, { type: T }>['row'];

/** The reducer of one host with a directory; tests dispatch its events and read its effects. */
export class DirectoryHost {
  now: number;
  /** Effects since the last call of a `take` method. */
  private effects: Effect[] = [];

  private constructor(
    readonly state: State,
    startedAt: number,
  ) {
    this.now = startedAt;
  }

  /** Creates host `id` of zone `zone` and starts it at the monotonic ms `startedAt`. */
  static create(
    id = 'h0',
    zone = 'z1',
    startedAt = 1_000,
    policy: Partial<DirectoryPolicy> = {},
  ): DirectoryHost {
    const state = State.create({
      host: { id, zone, region: 'r1', incarnation: 1, address: `10.0.0.1:1` },
      policy: {
        stallWeight: 0,
        loadsPerS: 1,
        maxRequests: 100,
        maxRequestsPerCaller: 100,
        lameDuckMs: 100,
        directory: {
          retries: { ratio: 0.2, slack: 50, windowMs: 10_000 },
          stopMs: 30_000,
          ...policy,
        },
      },
      randomSeed: 7,
    });
    const host = new DirectoryHost(state, startedAt);
    host.dispatch({ type: 'started' });
    return host;
  }

  /** Reduces an event and the messages that the host then sends to itself. */
  dispatch(event: Event): this {
    const effects = reduce(this.state, event, this.now);
    this.effects.push(...effects);
    for (const effect of effects) {
      if (effect.type !== 'sendMessage' || effect.to !== this.state.host.id) continue;
      this.receiveMessage(this.state.host.id, effect.message);
    }
    return this;
  }

  receiveMessage(from: string, message: Message): this {
    return this.dispatch({ type: 'messageReceived', from, message });
  }

  /** Advances the time by `ms` and fires the timers that become due. */
  advance(ms: number): this {
    const until = this.now + ms;
    for (;;) {
      const due = this.state.timers.earliest;
      if (due === undefined || due > until) break;
      this.now = Math.max(this.now, due);
      this.dispatch({ type: 'tick' });
    }
    this.now = until;
    return this;
  }

  /** Returns the effects of one type since the last call and discards all others. */
  takeEffects<T extends Effect['type']>(type: T): EffectOf<T>[] {
    const taken = this.effects.filter((effect): effect is EffectOf<T> => effect.type === type);
    this.effects = [];
    return taken;
  }

  /** Returns the writes of one row since the last call and discards all other effects. */
  takeRowWrites<T extends HostRow['type']>(type: T): { row: RowOf<T>; version: number }[] {
    return this.takeEffects('writeRow')
      .filter(({ content }) => content.type === type)
      .map(({ content, version }) => ({ row: content.row as RowOf<T>, version }));
  }

  /** Returns all effects since the last call and clears them. */
  takeAllEffects(): Effect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** Returns the messages to host `to` since the last call and discards all other effects. */
  takeMessages(to: string): Message[] {
    return this.takeEffects('sendMessage')
      .filter((effect) => effect.to === to)
      .map(({ message }) => message);
  }

  /** Answers the directory call of `topic` that is in flight with changes, and the directory's clock. */
  answerDirectoryCall(
    topic: Topic,
    changes: DirectoryChange[],
    version: number,
    isRead = false,
    clockMs?: number,
  ): this {
    const { call } = this.state.directory.topics[topic];
    const answer = { type: 'changes' as const, changes, version, clockMs, asOfMs: clockMs };
    return this.dispatch({ type: 'directoryAnswered', topic, call, isRead, answer });
  }

  /** Fails the directory call of `topic` that is in flight. */
  failDirectoryCall(topic: Topic): this {
    const { call } = this.state.directory.topics[topic];
    const answer = { type: 'unavailable' as const, reason: 'down' };
    return this.dispatch({ type: 'directoryAnswered', topic, call, isRead: false, answer });
  }

  /** Answers the directory calls with a routing table, endpoints and a members row. */
  configure(options: {
    routes?: Partial<Route>[];
    endpoints?: Partial<Endpoint>[];
    members?: Partial<Member>[];
    epoch?: number;
    tenants?: Tenant[];
  }): this {
    const { routes = [{}], endpoints = [], members, epoch = 1, tenants } = options;
    this.answerDirectoryCall(
      'operator',
      [newDirectoryChange('config', 1, newRoutingContent(1, routes, 0, tenants))],
      1,
      true,
    );
    const entries = endpoints.map((endpoint, index) =>
      newDirectoryChange(endpoint.id ?? `e${index}`, index + 2, {
        type: 'endpoint',
        endpoint: newEndpoint({ id: `e${index}`, ...endpoint }),
      }),
    );
    this.answerDirectoryCall('endpoints', entries, 10, true);
    const row = newMembersRow(epoch, members ?? [{ host: this.state.host.id }]);
    this.answerDirectoryCall(
      'members',
      [newDirectoryChange('members', 20, { type: 'members', row })],
      20,
      true,
    );
    this.takeEffects('log');
    return this;
  }

  /** Dispatches the arrival of a request to forward. */
  receiveForward(
    change: Partial<Omit<NewForward, 'labels'>> & { labels?: Partial<RequestLabels> } = {},
  ): this {
    const { labels, ...rest } = change;
    return this.dispatch({
      type: 'forwardArrived',
      forward: {
        id: 'f1',
        host: 'desk.example',
        target: '/a/1',
        caller: '10.9.0.1',
        fingerprint: 'p1',
        arrivedAt: this.now,
        readDelayMs: 0,
        ...rest,
        labels: {
          attemptId: 'a1',
          model: '',
          adapter: '',
          promptTokens: 0,
          outputTokens: 0,
          promptParts: [],
          waitMs: 5_000,
          ...labels,
        },
      },
    });
  }
}

export function newDirectoryChange(
  key: string,
  version: number,
  content: DirectoryContent,
): DirectoryChange {
  return { key, version, content };
}

export function newRoutingContent(
  version: number,
  routes: Partial<Route>[],
  loadMs = 0,
  tenants: Tenant[] | null = null,
): DirectoryContent {
  const table: RoutingTable = {
    version,
    routes: routes.map((route) => ({
      name: 'r',
      host: 'desk.example',
      pathPrefix: '/a/',
      kind: 'safe',
      timeoutMs: 2_000,
      goalMs: 200,
      pauseGoalMs: 0,
      priority: 1,
      attempts: 2,
      isResumable: false,
      targets: [{ service: 'desk', weight: 1 }],
      ...route,
    })),
    services: [
      { name: 'desk', connectionLimit: 50 },
      {
        name: 'llm',
        connectionLimit: 100,
        engine: {
          batch: 4,
          memoryTokens: 10_000,
          adapterSlots: 2,
          weightsMb: 1_000,
          models: [{ name: 'base', weightsMb: 900, adapterMb: 10, loadMs }],
          loadsPerS: 2,
        },
      },
    ],
    limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
    tenants,
  };
  return { type: 'routing', table };
}

export function newEndpoint(change: Partial<Endpoint>): Endpoint {
  return {
    id: 'e0',
    service: 'desk',
    address: '10.0.1.1:80',
    zone: 'z1',
    slots: 4,
    isLeaving: false,
    startedAt: 1,
    sequence: 1,
    softwareVersion: 'v1',
    models: [],
    adapters: [],
    ...change,
  };
}

export function newMembersRow(epoch: number, members: Partial<Member>[]): MembersRow {
  return {
    epoch,
    members: members.map((member, index) => ({
      host: `h${index}`,
      incarnation: 1,
      zone: 'z1',
      address: `10.0.0.${index}:1`,
      isOwner: true,
      ...member,
    })),
  };
}
