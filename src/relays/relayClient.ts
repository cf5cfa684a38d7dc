import { connect, type Socket } from 'node:net';
import { splitAddress } from '../clients/address.ts';
import { RUN_CHECK_HOLD_MS } from '../clients/constants.ts';
import type { ConnectionProblem, Relay } from '../paths/types.ts';
import { MAX_HELLO_BYTES } from '../peers/constants.ts';
import { decodeFrameBody, encodeFrame, FRAME_KIND, FrameReader } from '../peers/frames.ts';
import { RELAY_ANSWER_TIMEOUT_MS } from './constants.ts';
import { RelayAnswer } from './messages.ts';

/** A connection that a relay did not open. */
export class RelayError extends Error {
  private constructor(
    readonly problem: ConnectionProblem,
    message: string,
  ) {
    super(message);
  }

  static create(problem: ConnectionProblem, message: string): RelayError {
    return new RelayError(problem, message);
  }
}

/** Where a relayed connection leads. */
export interface RelayTarget {
  relay: Relay;
  endpoint: string;
  /** Id of this host. */
  host: string;
  /** Local IP address of the connection to the relay. */
  localAddress: string | undefined;
}

const PROBLEMS: Record<Exclude<RelayAnswer['result'], 'opened'>, ConnectionProblem> = {
  refused: 'refusedToRelay',
  unanswered: 'unanswered',
  declined: 'declined',
};

/** Opens a connection to an endpoint through another host; rejects with a `RelayError`. */
export function openRelayedConnection(target: RelayTarget): Promise<Socket> {
  const { relay, endpoint, host, localAddress } = target;
  return new Promise((resolve, reject) => {
    const socket = connect({ ...splitAddress(relay.address), localAddress, noDelay: true });
    const reader = FrameReader.create();
    const end = (): void => {
      clearTimeout(timer);
      socket.off('data', read).off('error', onError).off('close', onClose);
    };
    const fail = (problem: ConnectionProblem, reason: string): void => {
      end();
      socket.on('error', () => undefined).destroy();
      reject(RelayError.create(problem, `relay ${relay.host}: ${reason}`));
    };
    const onError = (error: Error): void => fail('relay', error.message);
    const onClose = (): void => fail('relay', 'closed the connection');
    const timer = setTimeout(
      () => fail('relay', 'did not answer in time'),
      RELAY_ANSWER_TIMEOUT_MS,
    );
    const read = (chunk: Buffer): void => {
      const bodies = reader.push(chunk, MAX_HELLO_BYTES) ?? [];
      for (const body of bodies) {
        const frame = decodeFrameBody(body);
        // Listeners send a hello to whoever connects.
        if (frame?.kind === FRAME_KIND.hello) continue;
        const answer = RelayAnswer.safeParse(frame?.content);
        if (frame?.kind !== FRAME_KIND.relayAnswer || !answer.success) {
          fail('relay', 'sent a malformed answer');
          return;
        }
        const { result } = answer.data;
        if (result !== 'opened') {
          fail(PROBLEMS[result], `the connection to the endpoint was ${result}`);
          return;
        }
        end();
        socket.pause();
        resolve(socket);
        return;
      }
    };
    socket.on('data', read).on('error', onError).on('close', onClose);
    socket.once('connect', () => {
      socket.write(encodeFrame(FRAME_KIND.relayRequest, { endpoint, host }));
    });
  });
}

/** What a relay finds out about an endpoint; `unknown` if it can't tell. */
export type RelayedCheck = 'running' | 'refused' | 'unknown';

/** Has a relay open a connection to an endpoint and closes it. Never rejects. */
export async function checkThroughRelay(target: RelayTarget): Promise<RelayedCheck> {
  try {
    (await openRelayedConnection(target)).destroy();
    return 'running';
  } catch (error) {
    const isRefused = error instanceof RelayError && error.problem === 'refusedToRelay';
    return isRefused ? 'refused' : 'unknown';
  }
}

/** Whether an endpoint still accepts connections through the relay and holds them. Never rejects. */
export async function isRunningBehindRelay(target: RelayTarget): Promise<boolean> {
  try {
    const socket = await openRelayedConnection(target);
    socket.on('error', () => undefined);
    await new Promise((resolve) => setTimeout(resolve, RUN_CHECK_HOLD_MS));
    socket.destroy();
    // A server at its connection limit closes what it accepts.
    return true;
  } catch {
    return false;
  }
}
