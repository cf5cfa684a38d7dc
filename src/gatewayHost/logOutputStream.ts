import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { MAX_LOG_LINES_PER_S, MAX_QUEUED_LOG_LINES } from './constants.ts';

const STANDARD_OUTPUT = 1;

/**
 * Standard output for log lines. Never blocks the loop, which a write to a full pipe would, and
 * drops lines beyond a rate; the next line that is written tells how many were dropped.
 */
export class LogOutputStream extends Writable {
  private waiting: string[] = [];
  private isWriting = false;
  private dropped = 0;
  private secondAt = 0;
  private linesOfSecond = 0;

  private constructor() {
    super({ decodeStrings: false });
  }

  static create(): LogOutputStream {
    return new LogOutputStream();
  }

  override _write(chunk: string | Buffer, _encoding: string, done: () => void): void {
    this.take(chunk.toString());
    done();
  }

  private take(line: string): void {
    const second = Math.floor(performance.now() / 1_000);
    if (second !== this.secondAt) {
      this.secondAt = second;
      this.linesOfSecond = 0;
    }
    this.linesOfSecond += 1;
    if (this.linesOfSecond > MAX_LOG_LINES_PER_S || this.waiting.length >= MAX_QUEUED_LOG_LINES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const message = { level: 'warn', message: 'log lines were dropped', count: this.dropped };
      this.dropped = 0;
      this.waiting.push(`${JSON.stringify(message)}\n`);
    }
    this.waiting.push(line);
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    this.isWriting = true;
    this.writeAll(Buffer.from(this.waiting.join('')));
    this.waiting = [];
  }

  private writeAll(bytes: Buffer): void {
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeAll(bytes), 10);
        return;
      }
      // Without standard output there is nowhere to tell of the loss.
      if (error === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
