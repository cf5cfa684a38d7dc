import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { MAX_LOG_LINES_PER_S, MAX_QUEUED_LOG_LINES } from './constants.ts';

const STANDARD_OUTPUT = 1;

/**
 * Standard output for log lines. Never blocks the event loop, unlike a synchronous write to a full
 * pipe. Drops lines beyond a rate and logs their number before the next line that is written.
 */
export class LogOutputStream extends Writable {
  private queue: string[] = [];
  private isWriting = false;
  private droppedLines = 0;
  private currentSecond = 0;
  private linesInSecond = 0;

  private constructor() {
    super({ decodeStrings: false });
  }

  static create(): LogOutputStream {
    return new LogOutputStream();
  }

  override _write(chunk: string | Buffer, _encoding: string, done: () => void): void {
    this.enqueueLine(chunk.toString());
    done();
  }

  private enqueueLine(line: string): void {
    const second = Math.floor(performance.now() / 1_000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.linesInSecond = 0;
    }
    this.linesInSecond += 1;
    if (this.linesInSecond > MAX_LOG_LINES_PER_S || this.queue.length >= MAX_QUEUED_LOG_LINES) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      const message = {
        level: 'warn',
        message: 'log lines were dropped',
        count: this.droppedLines,
      };
      this.droppedLines = 0;
      this.queue.push(`${JSON.stringify(message)}\n`);
    }
    this.queue.push(line);
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.queue.length === 0) return;
    this.isWriting = true;
    this.writeAll(Buffer.from(this.queue.join('')));
    this.queue = [];
  }

  private writeAll(bytes: Buffer): void {
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeAll(bytes), 10);
        return;
      }
      // If standard output fails, the lines are lost and there is nowhere to report it.
      if (error === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
