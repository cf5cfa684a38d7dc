import { Err, Ok, type Result } from '../base/result.ts';
import { request } from 'undici';
import { z } from 'zod';

/** Longer than a host takes to answer a confirm, so that the client does not miss the answer. */
const ANSWER_TIMEOUT_MS = 30_000;

const ErrorResponse = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string(),
    outcome: z.string(),
    details: z.array(z.string()).optional(),
  }),
});

/** An error response of the operators' API, or the reason why there is no response. */
export interface AdminFailure {
  message: string;
  details: string[];
}

/** A call to the operators' API. */
export interface AdminCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: string;
}

/** Client of a host's API for operators; never retries a call. */
export class AdminClient {
  private constructor(
    private readonly server: string,
    private readonly key: string | undefined,
  ) {}

  static create({ server, key }: { server: string; key: string | undefined }): AdminClient {
    return new AdminClient(server, key);
  }

  /** Returns the parsed response; fails with the error response or the reason why there is none. */
  async call<T>(
    { method, path, body }: AdminCall,
    schema: z.ZodType<T>,
  ): Promise<Result<T, AdminFailure>> {
    let status: number;
    let text: string;
    try {
      const answer = await request(this.server + path, {
        method,
        body,
        headers: this.key === undefined ? {} : { authorization: `Bearer ${this.key}` },
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
      });
      status = answer.statusCode;
      text = await answer.body.text();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return Err({ message: `no answer from ${this.server}: ${reason}`, details: [] });
    }
    const json = parseJson(text);
    if (status >= 400) return Err(getFailure(status, json));
    const parsed = schema.safeParse(json);
    if (parsed.success) return Ok(parsed.data);
    return Err({ message: `unexpected answer from ${this.server}${path}`, details: [] });
  }
}

function getFailure(status: number, json: unknown): AdminFailure {
  const parsed = ErrorResponse.safeParse(json);
  if (!parsed.success) return { message: `the server answered with status ${status}`, details: [] };
  const { kind, message, outcome, details = [] } = parsed.data.error;
  const hint = outcome === 'unknown' ? ' (the outcome is unknown)' : '';
  return { message: `${kind}: ${message}${hint}`, details };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
