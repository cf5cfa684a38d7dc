import { connect } from 'node:net';
import { Buffer } from 'node:buffer';
import { HOST } from './deployment.mjs';

/** A requester's channel: sends bytes, and keeps what it receives and how the channel ended. */
export class Channel {
  constructor(port) {
    this.received = Buffer.alloc(0);
    /** undefined while it is open, else `closed` or `reset`. */
    this.end = undefined;
    this.waiting = new Set();
    this.socket = connect({ host: HOST, port, noDelay: true });
    /** Resolves once the channel is open, or has ended before. */
    this.opened = new Promise((resolve) => {
      this.socket.once('connect', resolve);
      this.socket.once('close', resolve);
    });
    this.socket.on('data', (chunk) => {
      this.received = Buffer.concat([this.received, chunk]);
      this.wake();
    });
    this.socket.once('end', () => this.finish('closed'));
    this.socket.once('error', () => this.finish('reset'));
    this.socket.once('close', () => this.finish('closed'));
  }

  send(bytes) {
    this.socket.write(bytes);
  }

  close() {
    this.socket.destroy();
  }

  finish(end) {
    this.end ??= end;
    this.wake();
  }

  wake() {
    for (const check of [...this.waiting]) check();
  }

  /** Resolves with the next whole answer, or with undefined if the channel ends before. */
  readAnswer() {
    return new Promise((resolve) => {
      const check = () => {
        const answer = this.takeAnswer();
        if (answer === undefined && this.end === undefined) return;
        this.waiting.delete(check);
        resolve(answer);
      };
      this.waiting.add(check);
      check();
    });
  }

  takeAnswer() {
    const headEnd = this.received.indexOf('\r\n\r\n');
    if (headEnd < 0) return undefined;
    const [line, ...fields] = this.received.subarray(0, headEnd).toString('latin1').split('\r\n');
    const headers = new Map(
      fields.map((field) => {
        const colon = field.indexOf(':');
        return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
      }),
    );
    const length = Number(headers.get('content-length') ?? 0);
    if (this.received.length < headEnd + 4 + length) return undefined;
    const body = this.received.subarray(headEnd + 4, headEnd + 4 + length);
    this.received = this.received.subarray(headEnd + 4 + length);
    return { status: Number(line.split(' ')[1]), headers, body };
  }
}

/** Returns the bytes of a request. */
export function newRequest({ method = 'POST', host, path, attempt, deadlineMs, body = '' }) {
  const head = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Attempt-Id: ${attempt}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
