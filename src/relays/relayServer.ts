import { connect, type Socket } from 'node:net';
import { splitAddress } from '../clients/address.ts';
import type { TurnQueue } from '../eventLoop/turnQueue.ts';
import { encodeFrame, FRAME_KIND } from '../peers/frames.ts';
import { MAX_RELAYED_CONNECTIONS, RELAY_CONNECT_TIMEOUT_MS } from './constants.ts';
import { joinSockets } from './joinSockets.ts';
import { type RelayAnswer, RelayRequest } from './messages.ts';

interface Options {
  /** Local IP address of the connections to endpoints. */
  localAddress: string | undefined;
  /** Returns the `IP:PORT` of an endpoint to which this host relays now; undefined if it declines. */
  findAddress: (endpoint: string) => string | undefined;
  /** Turns in which requests are passed on. */
  turns: TurnQueue;
  /** Called when the number of relayed connections changes. */
  onCountChanged: (count: number) => void;
}

/** Passes bytes on between other hosts and endpoints that they can't reach directly. */
export class RelayServer {
  /** Connections of other hosts that are relayed, or wait for their endpoint. */
  private readonly sockets = new Map<Socket, RelayRequest>();
  private isStopping = false;

  private constructor(private readonly options: Options) {}

  static create(options: Options): RelayServer {
    return new RelayServer(options);
  }

  /** Takes over a connection whose first frame was a request with `content`. */
  accept(socket: Socket, content: unknown): void {
    socket.on('error', () => undefined);
    const request = RelayRequest.safeParse(content);
    const address = request.success ? this.findAddress(request.data.endpoint) : undefined;
    if (!request.success || address === undefined) {
      endWith(socket, 'declined');
      return;
    }
    this.sockets.set(socket, request.data);
    this.options.onCountChanged(this.sockets.size);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.options.onCountChanged(this.sockets.size);
    });
    this.connect(socket, address);
  }

  /** Returns the hosts whose connections to an endpoint are relayed. */
  getHosts(endpoint: string): Set<string> {
    const requests = [...this.sockets.values()].filter((request) => request.endpoint === endpoint);
    return new Set(requests.flatMap(({ host }) => host ?? []));
  }

  /** Stops relaying; connections that other hosts still use get `drainMs` to end. */
  async stop(drainMs: number): Promise<void> {
    this.isStopping = true;
    const deadline = performance.now() + drainMs;
    for (const socket of this.sockets.keys()) {
      const remainingMs = Math.max(0, deadline - performance.now());
      await waitForClose(socket, remainingMs);
    }
    for (const socket of this.sockets.keys()) socket.destroy();
  }

  private findAddress(endpoint: string): string | undefined {
    if (this.isStopping || this.sockets.size >= MAX_RELAYED_CONNECTIONS) return undefined;
    return this.options.findAddress(endpoint);
  }

  private connect(socket: Socket, address: string): void {
    const { localAddress } = this.options;
    const endpoint = connect({ ...splitAddress(address), localAddress, noDelay: true });
    const fail = (result: RelayAnswer['result']): void => {
      clearTimeout(timer);
      endpoint.destroy();
      endWith(socket, result);
    };
    const timer = setTimeout(() => fail('unanswered'), RELAY_CONNECT_TIMEOUT_MS);
    const onError = (error: NodeJS.ErrnoException): void =>
      fail(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered');
    endpoint.once('error', onError);
    socket.once('close', () => {
      clearTimeout(timer);
      endpoint.destroy();
    });
    endpoint.once('connect', () => {
      clearTimeout(timer);
      endpoint.off('error', onError);
      socket.write(encodeFrame(FRAME_KIND.relayAnswer, { result: 'opened' }));
      joinSockets(socket, endpoint, this.options.turns);
    });
  }
}

function endWith(socket: Socket, result: RelayAnswer['result']): void {
  socket.resume();
  socket.end(encodeFrame(FRAME_KIND.relayAnswer, { result }));
}

function waitForClose(socket: Socket, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, limitMs);
    socket.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
