// Requesters of the users' platform: one request each, on channels of their own.
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { now } from './deployment.mjs';

/**
 * Sends one requester attempt and resolves with its status, its headers, its bytes and how it ended. `onBytes` gets the
 * bytes of a stream as they arrive. Never rejects.
 */
export function sendAttempt({
  gateway,
  method,
  path,
  headers,
  body,
  limitMs,
  onBytes = () => undefined,
  onCall = () => undefined,
  agent,
}) {
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: '', end: 'open', at: now() };
    const finish = (end) => {
      if (answer.end !== 'open') return;
      answer.end = end;
      answer.endedAt = now();
      resolve(answer);
    };
    const target = {
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      headers,
      agent: agent ?? new Agent(),
    };
    const call = httpRequest(target, (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (text) => {
        answer.body += text;
        onBytes(text);
      });
      response.on('end', () => finish(response.complete ? 'complete' : 'cut'));
      response.on('close', () => finish(response.complete ? 'complete' : 'cut'));
      response.on('error', () => finish('cut'));
    });
    onCall(call);
    call.setTimeout(limitMs, () => {
      finish('time limit');
      call.destroy();
    });
    call.on('error', (error) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'cut'));
    call.end(body);
  });
}

/** Splits the bytes of a stream into complete events: their ids and what they say. */
export class Events {
  rest = '';
  list = [];

  push(text) {
    this.rest += text;
    for (;;) {
      const end = this.rest.indexOf('\n\n');
      if (end < 0) return;
      const block = this.rest.slice(0, end);
      this.rest = this.rest.slice(end + 2);
      const id = Number(/^id: (\d+)$/m.exec(block)?.[1]);
      const data = /^data: (.*)$/m.exec(block)?.[1] ?? '';
      this.list.push({ id, data });
    }
  }
}

/**
 * A requester of a stream that may be resumed: after a broken channel, it takes the stream up at another machine, on a
 * new channel, with `Last-Event-Id` and `Resumes`. Resolves with all events and what each attempt brought.
 */
export async function readStream({
  gateways,
  first,
  path,
  headers,
  body,
  newAttemptId,
  timeLimitMs,
  tries,
  record,
}) {
  const startedAt = now();
  const events = [];
  const attempts = [];
  let origin;
  let machine = first;
  for (let number = 0; number < tries;) {
    const left = timeLimitMs - (now() - startedAt);
    if (left < 200) break;
    const attempt = newAttemptId();
    const gateway = gateways[machine % gateways.length];
    const resumed =
      origin === undefined ? {} : { 'Last-Event-Id': String(events.at(-1).id), Resumes: origin };
    const parser = new Events();
    const answer = await sendAttempt({
      gateway,
      method: 'POST',
      path,
      headers: {
        ...headers,
        'Attempt-Id': attempt,
        'Deadline-Ms': String(Math.floor(left)),
        ...resumed,
      },
      body,
      limitMs: Math.max(200, left),
      onBytes: (text) => parser.push(text),
    });
    const isStream = answer.status === 200;
    if (isStream && parser.list.length > 0) {
      origin ??= attempt;
      events.push(...parser.list);
    }
    const sequence =
      parser.list.length === 0
        ? 'no events'
        : `events ${parser.list[0].id} to ${parser.list.at(-1).id}`;
    attempts.push({
      attempt,
      gateway: gateway.id,
      status: answer.status,
      end: answer.end,
      events: parser.list,
    });
    record.write(
      `answered ${attempt} by ${gateway.id}: ${answer.status} ${answer.end}, ${sequence}` +
        (origin !== undefined && origin !== attempt ? `, resumes ${origin}` : ''),
    );
    if (answer.end === 'complete' && answer.status !== 503 && answer.status !== 429) break;
    machine += 1;
    // The platform's entry address leads to a machine that is up: a refused channel is no attempt.
    if (answer.end !== 'refused') number += 1;
    const pause = Number(answer.headers['retry-after'] ?? 0) * 1_000;
    await sleep(Math.max(answer.end === 'refused' ? 300 : 50, Math.min(pause, left / 3)));
  }
  return { origin, events, attempts };
}
