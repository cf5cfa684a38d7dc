import type { IncomingMessage } from 'node:http';
import { ByteBuffer } from '../base/byteBuffer.ts';
import type { BytesHolder, MemoryBudget } from '../base/memoryBudget.ts';
import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';

interface BodyLimits {
  maxBytes: number;
  timeoutMs: number;
  /** Bytes of all requests and responses of the host; unlimited if undefined. */
  budget?: MemoryBudget;
}

/**
 * Reads a whole request body. Fails with `body_too_large`, `slow_sender`, `overloaded` if the budget is
 * exhausted, or, if the sender closed the connection, `cancelled`.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs, budget }: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    const received = ByteBuffer.create();
    const end = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
      budget?.release(holder);
      request.off('data', addChunk);
      request.off('end', finish);
      request.off('close', handleClose);
      resolve(result);
    };
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
      if (received.length <= maxBytes) budget?.hold(holder, received.capacity);
      else end(Err(Failure.create('body_too_large', `the body is larger than ${maxBytes} bytes`)));
    };
    const finish = () => end(Ok(received.take()));
    const handleClose = () => {
      const message = 'the sender closed the connection';
      end(Err(Failure.create('cancelled', message, { outcome: 'not_run' })));
    };
    request.on('data', addChunk);
    request.on('end', finish);
    request.on('close', handleClose);
  });
}
