import type { IncomingMessage } from 'node:http';
import { Err, Ok, type Result } from '../base/result.ts';
import { Failure } from '../errors/failure.ts';

interface BodyLimits {
  maxBytes: number;
  timeoutMs: number;
}

/**
 * Reads a whole request body. Fails with `body_too_large`, `slow_sender`, or, if the sender closed
 * the connection, `cancelled`.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, timeoutMs }: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const end = (result: Result<Buffer, Failure>) => {
      clearTimeout(timer);
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
    const addChunk = (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else end(Err(Failure.create('body_too_large', `the body is larger than ${maxBytes} bytes`)));
    };
    const finish = () => end(Ok(Buffer.concat(chunks)));
    const handleClose = () => {
      const message = 'the sender closed the connection';
      end(Err(Failure.create('cancelled', message, { outcome: 'not_run' })));
    };
    request.on('data', addChunk);
    request.on('end', finish);
    request.on('close', handleClose);
  });
}
