import type { IncomingMessage } from 'node:http';
import { BlockBuffer, type BlockPool } from '../base/blockBuffer.ts';
import type { BytesHolder, MemoryBudget } from './memoryBudget.ts';
import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';
import type { BodyGarbage } from './bodyGarbage.ts';
import type { SmallPartLimit } from './smallPartLimit.ts';

/** Memory that a part of a body takes beside its bytes. */
const PART_BYTES = 512;

interface BodyLimits {
  maxBytes: number;
  timeoutMs: number;
  /** Bytes of all requests and responses of the host; unlimited if undefined. */
  budget?: MemoryBudget;
  /** Limits bodies in small parts; unlimited if undefined. */
  smallParts?: SmallPartLimit;
  garbage?: BodyGarbage;
  /** Blocks in which bodies are kept; new ones if undefined. */
  blocks?: BlockPool;
}

/**
 * Reads a whole request body. Fails with `body_too_large`, `slow_sender`, `overloaded` if the budget is
 * exhausted or too many bodies arrive in small parts, or, if the sender closed the connection, `cancelled`.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs, budget, smallParts, garbage, blocks }: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    const received = BlockBuffer.create(blocks);
    const parts = smallParts?.watch(request);
    const end = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
      budget?.release(holder);
      parts?.end();
      received.clear();
      request.off('data', addChunk);
      request.off('end', finish);
      request.off('close', handleClose);
      // What still arrives before the connection is closed would be kept otherwise, and its buffers gather too.
      request.on('data', discardChunk);
      resolve(result);
    };
    const discardChunk = (chunk: Buffer) => garbage?.add(chunk.length + PART_BYTES);
    const rejectSlowSender = () => {
      end(Err(Failure.create('slow_sender', `the body did not arrive within ${timeoutMs} ms`)));
    };
    // After the process was suspended, timers fire before the bytes that arrived meanwhile are read.
    const timer = setTimeout(() => setImmediate(rejectSlowSender), timeoutMs);
    const holder: BytesHolder = {
      isComplete: false,
      evict: () => {
        const message = 'this host has no memory left for the body of the request';
        end(Err(Failure.create('overloaded', message)));
      },
    };
    const addChunk = (chunk: Buffer) => {
      received.append(chunk);
      garbage?.add(chunk.length + PART_BYTES);
      if (received.length > maxBytes) rejectLargeBody();
      else if (parts?.addPart(received.length) === false) holder.evict();
      else budget?.hold(holder, received.capacity);
    };
    const rejectLargeBody = () =>
      end(Err(Failure.create('body_too_large', `the body is larger than ${maxBytes} bytes`)));
    const finish = () => end(Ok(received.concat()));
    const handleClose = () => {
      const message = 'the sender closed the connection';
      end(Err(Failure.create('cancelled', message, { outcome: 'not_run' })));
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      rejectLargeBody();
      return;
    }
    request.on('data', addChunk);
    request.on('end', finish);
    request.on('close', handleClose);
  });
}
