import type { IncomingMessage, ServerResponse } from 'node:http';
import { BlockPool } from '../base/blockBuffer.ts';
import type { Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';
import { readBody } from './body.ts';
import { BodyGarbage } from './bodyGarbage.ts';
import { getHeldBytes, getMaxCallerConnections, type MachineLimits } from './callerLimits.ts';
import { ConnectionLimit } from './connectionLimit.ts';
import { type BytesHolder, MemoryBudget } from './memoryBudget.ts';
import { sendFailure } from './reply.ts';
import { SmallPartLimit } from './smallPartLimit.ts';

/** What gave way: the bytes of a request or a response, or a connection. */
export interface Eviction {
  resource: 'bytes' | 'connection';
  bytes?: number;
}

/** Size and time limits of a body. */
interface ReadLimits {
  maxBytes: number;
  timeoutMs: number;
}

/** Bounds what callers make a host hold: bytes of requests and responses, and connections. */
export class CallerMemory {
  private readonly smallParts = SmallPartLimit.create();
  private readonly blocks = BlockPool.create();
  private readonly bodies = new WeakMap<IncomingMessage, Promise<Result<Buffer, Failure>>>();
  private readonly heldResponses = new WeakMap<ServerResponse, HeldResponse>();

  /** Counts the buffers of bodies that callers cause; also those of answers to them. */
  readonly garbage = BodyGarbage.create();

  private constructor(
    readonly budget: MemoryBudget,
    readonly connectionLimit: ConnectionLimit,
  ) {}

  /** `onEvicted` is called for whatever gives way. */
  static create(
    { memoryMb, descriptors }: MachineLimits = {},
    onEvicted: (eviction: Eviction) => void = () => undefined,
  ): CallerMemory {
    return new CallerMemory(
      MemoryBudget.create(getHeldBytes(memoryMb), (bytes) =>
        onEvicted({ resource: 'bytes', bytes }),
      ),
      ConnectionLimit.create(getMaxCallerConnections(memoryMb, descriptors), () =>
        onEvicted({ resource: 'connection' }),
      ),
    );
  }

  /**
   * Reads the body of a request; later calls return the same result, whatever their limits. To be called when the
   * head arrives: parts that arrive before the request has its turn would be kept one by one otherwise. Fails as
   * `readBody` does.
   */
  readBody(request: IncomingMessage, limits: ReadLimits): Promise<Result<Buffer, Failure>> {
    const known = this.bodies.get(request);
    if (known !== undefined) return known;
    const { budget, smallParts, garbage, blocks } = this;
    const reading = readBody(request, { ...limits, budget, smallParts, garbage, blocks });
    this.bodies.set(request, reading);
    return reading;
  }

  /**
   * Accounts for the body of a request that is about to run, until its response is closed. Returns false if there
   * is no room for it; it has been refused then and must not run.
   */
  admit(response: ServerResponse, bytes: number): boolean {
    const held = this.getHeldResponse(response);
    this.budget.hold(held, bytes);
    held.isRunning = !held.isEvicted;
    return held.isRunning;
  }

  /**
   * Accounts for the bytes of an answer that is written to a response, in place of those of its request. If they
   * have to give way, the connection is closed.
   */
  holdAnswer(response: ServerResponse, bytes: number): void {
    this.garbage.add(bytes);
    if (response.destroyed) return;
    const held = this.getHeldResponse(response);
    held.isRunning = false;
    this.budget.hold(held, bytes);
  }

  stop(): void {
    this.connectionLimit.stop();
  }

  private getHeldResponse(response: ServerResponse): HeldResponse {
    const known = this.heldResponses.get(response);
    if (known !== undefined) return known;
    const held = HeldResponse.create(response);
    this.heldResponses.set(response, held);
    response.once('close', () => this.budget.release(held));
    return held;
  }
}

/** A response for which the body of its request, or its answer, is kept. */
class HeldResponse implements BytesHolder {
  isRunning = false;
  isEvicted = false;

  private constructor(private readonly response: ServerResponse) {}

  static create(response: ServerResponse): HeldResponse {
    return new HeldResponse(response);
  }

  get isComplete(): boolean {
    return this.response.writableEnded;
  }

  evict(): void {
    this.isEvicted = true;
    // An answer, or a call that runs, makes a refusal untrue.
    if (this.response.headersSent || this.isRunning) {
      this.response.destroy();
      return;
    }
    const message = 'this host has no memory left for the body of the request';
    sendFailure(this.response, Failure.create('overloaded', message), { connection: 'close' });
  }
}
